package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// marked returns a document in which the markers have the numbers a and b.
func marked(revision uint64, a, b int) *live.Document {
	return &live.Document{Revision: revision, Teams: []live.Team{
		{Name: markers[0], MaxInFlight: a}, {Name: markers[1], MaxInFlight: b},
	}}
}

func TestWatcherDetectsPartialChangesAndReverts(t *testing.T) {
	is := is.New(t)
	w := &configWatcher{}
	s := &lifetime{inForce: map[uint64]time.Time{}}
	w.record(s, marked(1, 5, 5))
	w.record(s, marked(3, 6, 6))
	is.Equal(w.halfApplied, 0)
	is.Equal(w.reverts, 0)
	is.Equal(len(s.inForce), 3)
	w.record(s, marked(4, 7, 6))
	is.Equal(w.halfApplied, 1)
	w.record(s, marked(3, 6, 6))
	is.Equal(w.reverts, 1)
	is.Equal(s.newest, uint64(4))
}

func TestRaceNeedsOneWinnerAndANotifiedLoser(t *testing.T) {
	is := is.New(t)
	requests := [2]opapi.ChangeRequest{{ID: "first"}, {ID: "second"}}
	conflict := exit.Errorf(exit.Conflict, "revision 3 by operator-1 (change first)")
	unavailable := exit.Errorf(exit.Unavailable, "try again")
	c := &changeDriver{}
	c.recordRace(requests, [2]error{nil, conflict})
	is.Equal(c.out, ConfigFigures{Races: 1, OneWinner: 1, LoserTold: 1})
	c.recordRace(requests, [2]error{nil, unavailable})
	is.Equal(c.out, ConfigFigures{Races: 2, OneWinner: 2, LoserTold: 1})
	c.recordRace(requests, [2]error{nil, nil})
	c.recordRace(requests, [2]error{conflict, conflict})
	is.Equal(c.out, ConfigFigures{Races: 4, OneWinner: 2, LoserTold: 1})
}

func TestMissingChangesAreCounted(t *testing.T) {
	is := is.New(t)
	c := &changeDriver{accepted: []acceptedChange{{id: "a", revision: 1}, {id: "b", revision: 2}, {id: "c", revision: 3}}}
	seen := map[string]bool{}
	entry := func(id string, revision uint64) opapi.HistoryEntry {
		return opapi.HistoryEntry{ID: id, Revision: revision}
	}
	whole := opapi.History{Entries: []opapi.HistoryEntry{entry("a", 1), entry("b", 2), entry("c", 3)}}
	is.Equal(c.countMissing(whole, seen), 0)
	is.True(seen["a"] && seen["b"] && seen["c"])
	late := opapi.History{Entries: []opapi.HistoryEntry{entry("b", 2), entry("c", 3)}}
	is.Equal(c.countMissing(late, seen), 0) // this daemon started from a snapshot
	moved := opapi.History{Entries: []opapi.HistoryEntry{entry("a", 1), entry("c", 2), entry("c", 3)}}
	is.Equal(c.countMissing(moved, seen), 2) // b is missing and c occurs twice
}

func TestPhaseFiguresExcludeKilledDaemons(t *testing.T) {
	is := is.New(t)
	begun := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	c := &changeDriver{
		watch: &configWatcher{lifetimes: []*lifetime{
			{from: at(0), inForce: map[uint64]time.Time{5: at(1100)}},
			{from: at(0), inForce: map[uint64]time.Time{5: at(6000)}},
			{from: at(0), ended: true, inForce: map[uint64]time.Time{}},
			{from: at(0), inForce: map[uint64]time.Time{}},
			{from: at(2000), first: 5},
		}},
		accepted: []acceptedChange{{revision: 5, phase: phaseCalm, at: at(1000)}},
	}
	p, never := c.phaseFigures(phaseCalm)
	is.Equal(p.Samples, 2)
	is.Equal(p.OverLimit, 1)
	is.Equal(never, 1) // the process that is still running without the change
	is.Equal(p.P50MS, 100.0)
}

func TestAttachProcessesReadsTheScriptsFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)) }
	write(filePlatform, `{"control": "127.0.0.1:9", "table": "127.0.0.1:10"}`)
	write(fileDaemons, "kuryk-1 17 127.0.0.1:1 127.0.0.1:2\nkuryk-2 18 127.0.0.1:3 127.0.0.1:4\n")
	p, err := attachProcesses(dir)
	is.NoErr(err)
	is.Equal(p.addresses, []string{"127.0.0.1:2", "127.0.0.1:4"})
	is.Equal(p.control, "127.0.0.1:9")
	write(fileDaemons, "kuryk-1 17\n")
	_, err = attachProcesses(dir)
	is.True(err != nil)
}
