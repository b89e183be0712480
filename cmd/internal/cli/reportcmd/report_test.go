package reportcmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/account"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
)

const dayLog = "../../account/testdata/day.log"

func report(format string, stdin string, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := Command(&common.Options{Output: format})
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetIn(strings.NewReader(stdin))
	cmd.SetArgs(args)
	cmd.SilenceUsage = true
	err := cmd.Execute()
	return out.String(), err
}

func TestReportOfALog(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	text, err := report(output.Table, "", "--logs", dayLog, "--out", dir)
	is.NoErr(err)
	for _, part := range []string{"requests by route", "wasted prefills", "no decode: overloaded", "125 lines, 0.00% of all could not be read"} {
		is.True(strings.Contains(text, part))
	}
	_, err = os.Stat(filepath.Join(dir, "roles.svg"))
	is.NoErr(err)
	raw, err := report(output.JSON, "", "--logs", dayLog)
	is.NoErr(err)
	var a account.Summary
	is.NoErr(json.Unmarshal([]byte(raw), &a))
	is.Equal(a.Lines, 125)
}

func TestWrongUsageIsReported(t *testing.T) {
	cases := []struct {
		name, message string
		code          int
		stdin         string
		args          []string
	}{
		{"no logs named", "--logs is required", exit.Usage, "", nil},
		{"no such file", "nowhere.log", exit.Failed, "", []string{"--logs", "nowhere.log"}},
		{"a bad time", "--from \"noon\" is not an RFC 3339 time", exit.Usage, "", []string{"--logs", dayLog, "--from", "noon"}},
		{"an empty span", "is not before", exit.Usage, "", []string{"--logs", dayLog, "--from", "2026-03-24T23:45:00Z", "--to", "2026-03-24T23:44:00Z"}},
		{"other text", "no line reports the end of a request", exit.Failed, "hello\n", []string{"--logs", "-"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := report(output.Table, c.stdin, c.args...)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.message))
			is.Equal(exit.Code(err), c.code)
		})
	}
}
