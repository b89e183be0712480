package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// allowedWallClockReads maps each file to the number of its wall clock reads that are
// allowed. Socket deadlines and certificate dates need the wall clock; everything
// that a daemon decides uses Now.
var allowedWallClockReads = map[string]int{
	"../upstream/idle.go":     3, // idle connections, by the monotonic part
	"../gateway/gateway.go":   3, // the default of Options.Wall, named twice; evidence until the store's clock is known
	"../gateway/authority.go": 2, // certificates' dates
}

// TestDaemonsUseTheBootClock guards against new reads of the wall clock, which may
// jump at any time. A lease, a deadline or a lapse computed from it would jump too.
func TestDaemonsUseTheBootClock(t *testing.T) {
	for _, dir := range []string{"forward", "feed", "upstream", "gateway", "leaving", "link", "broker", "members"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) == 0 {
			t.Fatalf("no sources in %s", dir)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			if got, allowed := wallClockReads(t, path), allowedWallClockReads[filepath.ToSlash(path)]; got != allowed {
				t.Errorf("%s reads the wall clock %d times, want %d", path, got, allowed)
			}
		}
	}
}

func wallClockReads(t *testing.T, path string) int {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, call := range []string{"time.Now", "time.Since(", "time.Until(", "opts.Wall()"} {
		n += strings.Count(string(text), call)
	}
	return n
}
