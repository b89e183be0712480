package root

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

func TestExitCodes(t *testing.T) {
	f := newFakeDaemon(t)
	at := "--operators=" + f.address()
	cases := []struct {
		name string
		args []string
		code int
		line string
	}{
		{"no daemon", []string{"status"}, exit.Usage, "samphirequay: no daemon given: use --operators ADDRESS[,ADDRESS]\n"},
		{"unknown command", []string{"frobnicate"}, exit.Usage, "samphirequay: unknown command \"frobnicate\" for \"samphirequay\"\n"},
		{"unknown flag", []string{"status", "--frob"}, exit.Usage, "samphirequay: unknown flag: --frob\n"},
		{"unknown format", []string{"status", "-o", "xml", at}, exit.Usage, "samphirequay: --output \"xml\": must be table or json\n"},
		{"missing argument", []string{"team", "get", at}, exit.Usage, "samphirequay: accepts 1 arg(s), received 0\n"},
		{"no such item", []string{"team", "get", "kuryk", at}, exit.Failed, "samphirequay: there is no team \"kuryk\" at revision 7\n"},
		{"unreachable", []string{"status", "--operators=127.0.0.1:1"}, exit.Unavailable, "samphirequay: daemon 127.0.0.1:1: dial tcp 127.0.0.1:1: connect: connection refused\n"},
		{"bad label", []string{"label", "team", "aktau", "a", at}, exit.Usage, "samphirequay: label \"a\": want key=value, or key- to remove it\n"},
		{"stop of two", []string{"stop", at + ",127.0.0.1:1"}, exit.Usage, "samphirequay: this is meant for one daemon: --operators must name one address, not 2\n"},
		{"unknown kind to explain", []string{"explain", "weather", "x", at}, exit.Usage, "samphirequay: can't explain \"weather\": must be one of request, endpoint, placement, change\n"},
		{"fine", []string{"status", at}, exit.OK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := runCommand("", c.args...)
			is.Equal(r.code, c.code)
			is.Equal(r.stderr, c.line)
		})
	}
}

func TestConflictPrintsOneLineAndSetsTheExitCode(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	f.failChanges(http.StatusConflict, -1)
	r := runCommand("", "label", "team", "aktau", "a=b", "--change-id=c1", "--operators="+f.address())
	is.Equal(r.code, exit.Conflict)
	is.Equal(r.stderr, "samphirequay: change c1: daemon "+f.address()+": the change was refused for a reason\n")
	is.Equal(r.stdout, "")
}

func TestChangeIsRetriedWithTheSameID(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	f.failChanges(http.StatusServiceUnavailable, 1)
	r := runCommand("", "label", "endpoint", "e-1", "samphirequay/leaving=true", "old-", "--operators=127.0.0.1:1,"+f.address())
	is.Equal(r.code, exit.OK)
	is.Equal(len(f.changes), 2)
	is.Equal(f.changes[0].ID, f.changes[1].ID)
	is.True(len(f.changes[0].ID) == 26)
	is.Equal(f.changes[1].Ops, []opapi.Op{{
		Action: "label", Kind: live.KindEndpoint, Name: "e-1",
		Labels: live.Labels{"samphirequay/leaving": "true", "old": ""},
	}})
}

func TestPutReportsUnknownFieldWithItsLine(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	item := "{\n  // the order desk's agents\n  \"name\": \"kuryk\",\n  \"wieght\": 2,\n}"
	r := runCommand(item, "team", "put", "-", "--operators="+f.address())
	is.Equal(r.code, exit.Faults)
	is.Equal(r.stderr, "samphirequay: -:4: unknown field \"wieght\"\n")
	is.Equal(len(f.changes), 0)
}

func TestPutSendsTheItem(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	r := runCommand(`{"name": "kuryk", "key_hashes": [], /* twice */ "weight": 2}`, "team", "put", "-", "-o", "json", "--operators="+f.address())
	is.Equal(r.code, exit.OK)
	var answer opapi.ChangeAnswer
	is.NoErr(json.Unmarshal([]byte(r.stdout), &answer))
	is.Equal(answer.Revision, uint64(8))
	is.Equal(f.changes[0].Ops[0].Name, "kuryk")
}

func TestListAsTableAndJSON(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	r := runCommand("", "team", "list", "--operators="+f.address())
	is.Equal(r.stdout, "NAME   WEIGHT  IN-FLIGHT  LIMIT  KEYS  LABELS\naktau  2       8          -      0     \n")
	r = runCommand("", "team", "list", "-o", "json", "--operators="+f.address())
	var teams []live.Team
	is.NoErr(json.Unmarshal([]byte(r.stdout), &teams))
	is.Equal(teams, f.doc.Teams)
}

func TestConfigCheckReportsEveryFault(t *testing.T) {
	is := is.New(t)
	r := runCommand("{\n \"teams\": [{\"name\": \"a b\", \"key_hashes\": []}],\n \"colour\": 1\n}", "config", "check", "-")
	is.Equal(r.code, exit.Faults)
	is.True(strings.Contains(r.stderr, "-:3:"))
	is.True(strings.Contains(r.stderr, "colour"))
	is.Equal(strings.Count(r.stderr, "\n"), 1)
	r = runCommand("{}", "config", "check", "-", "-o", "json")
	is.Equal(r.code, exit.OK)
	is.Equal(r.stdout, "{\n  \"file\": \"-\",\n  \"ok\": true,\n  \"faults\": []\n}\n")
}

func TestApplySubmitsTheDifference(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	file := `{"teams": [{"name": "aktau", "weight": 2, "max_in_flight": 8, "key_hashes": []}, {"name": "kuryk", "key_hashes": []}]}`
	r := runCommand(file, "config", "apply", "-", "--operators="+f.address())
	is.Equal(r.code, exit.OK)
	is.Equal(len(f.changes), 1)
	is.Equal(f.changes[0].Expect, uint64(7))
	is.Equal(len(f.changes[0].Ops), 1)
	is.Equal(f.changes[0].Ops[0].Name, "kuryk")
	r = runCommand("{}", "config", "apply", "-", "--prune", "--dry-run", "--operators="+f.address())
	is.Equal(r.stdout, "delete team aktau\ndry-run steps=1 revision=7\n")
	is.Equal(len(f.changes), 1)
}

func TestWrongKeyFails(t *testing.T) {
	is := is.New(t)
	f := newFakeDaemon(t)
	r := runCommand("", "status", "--key=wrong", "--operators="+f.address())
	is.Equal(r.code, exit.Failed)
	is.Equal(r.stderr, "samphirequay: daemon "+f.address()+": no valid operator key\n")
}

func TestKeysHash(t *testing.T) {
	is := is.New(t)
	r := runCommand("secret\n", "keys", "hash")
	is.Equal(r.code, exit.OK)
	is.Equal(r.stdout, "hash=2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n")
	is.Equal(runCommand("", "keys", "hash").code, exit.Usage)
}

// TestEveryCommandIsDocumented checks that every command has its help texts.
func TestEveryCommandIsDocumented(t *testing.T) {
	var walk func(t *testing.T, cmd *cobra.Command)
	walk = func(t *testing.T, cmd *cobra.Command) {
		if cmd.Short == "" || cmd.Long == "" || cmd.Example == "" {
			t.Errorf("%s: Short, Long or Example is missing", cmd.CommandPath())
		}
		for _, sub := range cmd.Commands() {
			walk(t, sub)
		}
	}
	walk(t, New())
}
