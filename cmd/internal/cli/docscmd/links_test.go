package docscmd_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	link        = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading     = regexp.MustCompile(`(?m)^#+ +(.*)$`)
	slugRemoved = regexp.MustCompile(`[^\p{L}\p{N}_ -]`)
)

// minLinks is far below the number of links on the pages: fewer matches mean
// that the search for links is broken.
const minLinks = 20

// TestLinkTargetsExist checks the file and the heading of every relative link of
// every page.
func TestLinkTargetsExist(t *testing.T) {
	is := is.New(t)
	found := 0
	for _, page := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(read(t, page), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			found++
			if fault := linkFault(page, match[1]); fault != "" {
				t.Errorf("%s: link %s: %s", strings.TrimPrefix(page, repository+"/"), match[1], fault)
			}
		}
	}
	is.True(found >= minLinks)
}

func TestBrokenLinksAreFound(t *testing.T) {
	is := is.New(t)
	page := filepath.Join(t.TempDir(), "page.md")
	is.NoErr(os.WriteFile(page, []byte("# One `two` three: four\n"), 0o644))
	is.Equal(linkFault(page, "#one-two-three-four"), "")
	is.Equal(linkFault(page, "page.md#one-two-three-four"), "")
	is.Equal(linkFault(page, "page.md#five"), "there is no heading five")
	is.Equal(linkFault(page, "other.md"), "there is no such file")
}

// pages lists all Markdown files of the repository.
func pages(t *testing.T) []string {
	t.Helper()
	var list []string
	err := filepath.WalkDir(repository, func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && d.Name() == ".git" {
			return fs.SkipDir
		}
		if strings.HasSuffix(path, ".md") {
			list = append(list, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// linkFault describes the fault of a link of a page; it is empty for a valid link.
func linkFault(page, target string) string {
	file, anchor, _ := strings.Cut(target, "#")
	path := page
	if file != "" {
		path = filepath.Join(filepath.Dir(page), file)
	}
	info, err := os.Stat(path)
	if err != nil {
		return "there is no such file"
	}
	if anchor == "" || info.IsDir() {
		return ""
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	for _, match := range heading.FindAllStringSubmatch(string(text), -1) {
		if slug(match[1]) == anchor {
			return ""
		}
	}
	return "there is no heading " + anchor
}

// slug returns the anchor of a heading.
func slug(text string) string {
	return strings.ReplaceAll(slugRemoved.ReplaceAllString(strings.ToLower(text), ""), " ", "-")
}
