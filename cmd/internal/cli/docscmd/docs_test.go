package docscmd_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/docscmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/root"
)

// repository is the path of the repository's root from this package.
const repository = "../../../.."

// TestReferenceIsUpToDate generates the pages and compares them with the
// committed pages.
func TestReferenceIsUpToDate(t *testing.T) {
	is := is.New(t)
	generated := t.TempDir()
	is.NoErr(docscmd.Generate(context.Background(), root.New(), repository, generated))
	committed := filepath.Join(repository, "docs", "reference")
	is.Equal(names(t, committed), names(t, generated)) // to update: go run ./cmd/samphirequay docs docs/reference
	for _, name := range names(t, generated) {
		want, got := read(t, filepath.Join(generated, name)), read(t, filepath.Join(committed, name))
		if want != got {
			t.Errorf("docs/reference/%s is out of date at line %d; update it with: %s", name, firstDifference(want, got), docscmd.Regenerate)
		}
	}
}

// TestReferenceHasKeyEntries also checks that no page contains a path of the
// host that generated it.
func TestReferenceHasKeyEntries(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	source, err := filepath.Abs(repository)
	is.NoErr(err)
	is.NoErr(docscmd.Generate(context.Background(), root.New(), source, dir))
	for page, wanted := range map[string][]string{
		"commands.md":      {"## samphirequay status\n", "## samphirequayd\n", "| `--operators` |", "| `--seed` | uint | `1` |"},
		"settings.md":      {"| `limits.workers` | whole number | `512` | from 1, to 65536 |", "| `seed_peers[].address` |"},
		"configuration.md": {"| `weight` | number | `1` | from 0.001 to 1000000 |", "| `min_decode` | whole number | `1` |", "## endpoints\n"},
		"metrics.md":       {"| `invariant_violations` | counter map | count |", "| `store_failures` |"},
	} {
		text := read(t, filepath.Join(dir, page))
		for _, w := range wanted {
			if !strings.Contains(text, w) {
				t.Errorf("%s lacks %q", page, w)
			}
		}
		is.True(!strings.Contains(text, source) && !strings.Contains(text, dir)) // no path of this host
	}
	is.True(!strings.Contains(read(t, filepath.Join(dir, "commands.md")), "samphirequay docs DIR")) // the command is hidden
}

func TestWrongSourceIsReported(t *testing.T) {
	is := is.New(t)
	err := docscmd.Generate(context.Background(), root.New(), "nowhere", t.TempDir())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "no source in nowhere/daemon/settings"))
}

func names(t *testing.T, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, e := range entries {
		list = append(list, e.Name())
	}
	return list
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// firstDifference returns the number of the first line that differs.
func firstDifference(a, b string) int {
	other := strings.Split(b, "\n")
	for i, line := range strings.Split(a, "\n") {
		if i >= len(other) || line != other[i] {
			return i + 1
		}
	}
	return len(other)
}
