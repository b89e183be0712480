package docscmd_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/root"
)

var (
	// commandLine matches a line of a page that shows a command; a remark may
	// follow after three spaces.
	commandLine = regexp.MustCompile(`(?m)^ {4}(?:go run (?:-\S+ )*\./cmd/)?samphirequay ([a-z].*)$`)
	flag        = regexp.MustCompile(`^--([a-z-]+)`)
)

// minCommands is far below the number of commands that the pages show: fewer
// matches mean that the search for commands is broken.
const minCommands = 30

// TestShownCommandsExist checks the commands that the pages show, and their flags.
func TestShownCommandsExist(t *testing.T) {
	is := is.New(t)
	found := 0
	for _, page := range pages(t) {
		for _, match := range commandLine.FindAllStringSubmatch(read(t, page), -1) {
			found++
			line, _, _ := strings.Cut(match[1], "   ")
			if err := check(line); err != nil {
				t.Errorf("%s: samphirequay %s: %v", strings.TrimPrefix(page, repository+"/"), line, err)
			}
		}
	}
	is.True(found >= minCommands)
}

func TestWrongCommandsAreFound(t *testing.T) {
	is := is.New(t)
	is.NoErr(check("config diff 16 17"))
	is.NoErr(check("status --operators HOST:PORT"))
	is.True(check("config frobnicate") != nil)
	is.True(check("frobnicate") != nil)
	is.True(check("status --frob") != nil)
}

// check returns an error if a line names a command or a flag that does not exist.
func check(line string) error {
	cmd, rest, err := root.New().Find(strings.Fields(line))
	if err != nil {
		return err
	}
	plainWord := len(rest) > 0 && !strings.ContainsAny(rest[0][:1], "-[")
	if plainWord && cmd.HasSubCommands() && cmd.Name() != "experiment" {
		return fmt.Errorf("%s has no command %s", cmd.Name(), rest[0])
	}
	for _, word := range rest {
		match := flag.FindStringSubmatch(word)
		if match != nil && cmd.Flags().Lookup(match[1]) == nil && cmd.InheritedFlags().Lookup(match[1]) == nil {
			return fmt.Errorf("no such flag: --%s", match[1])
		}
	}
	return nil
}
