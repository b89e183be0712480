package root

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/version"
)

func TestVersionNamesTheCommit(t *testing.T) {
	is := is.New(t)
	want := version.Read().Line("samphirequay")
	is.True(strings.Contains(want, " version="+version.Number+" revision="))
	for _, args := range [][]string{{"--version"}, {"version"}} {
		r := runCommand("", args...)
		is.Equal(r.code, exit.OK)
		is.Equal(strings.TrimSpace(r.stdout), want)
	}
}
