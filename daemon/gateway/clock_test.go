package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wallClock says how often a file may read the clock that people can set, and
// what for. Socket deadlines and a certificate's dates need it; whatever a
// daemon decides goes by Now.
var allowedWallClockReads = map[string]int{
	"../forward/relay.go":     1, // a socket's deadline
	"../upstream/upstream.go": 3, // idle connections, by the monotonic part
	"../gateway/gateway.go":   3, // the default of Options.Wall, twice named; evidence until the store's clock is known
	"../gateway/enroll.go":    3, // certificates' dates
}

// TestDecisionsGoByTheBootClock: a host's clock may jump at any moment. A lease,
// a deadline or a lapse that read it would jump as well.
func TestDecisionsGoByTheBootClock(t *testing.T) {
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
				t.Errorf("%s reads the wall clock %d times, %d are known", path, got, allowed)
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
