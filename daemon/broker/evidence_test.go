package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// TestOnlyOwnEvidenceIsSentToAll guards against forwarding received evidence to all
// daemons: after many crashes that saturated the links of the small hosts in a fleet
// of 79 daemons.
func TestOnlyOwnEvidenceIsSentToAll(t *testing.T) {
	is := is.New(t)
	var spread, relayed []poison.State
	ledger := poison.New(poison.Config{})
	b := New(Config{
		Self:       id.Process{Daemon: "a", Incarnation: 1},
		NewManager: func(id.Pool) *pool.Manager { return nil },
		Sender:     &silentOwner{},
		Poison:     ledger,
		Spread:     func(s poison.State) { spread = append(spread, s) },
		Relay:      func(s poison.State) { relayed = append(relayed, s) },
		Epoch:      time.Unix(1e9, 0),
		Metrics:    metrics.New("a"),
		Now:        func() time.Duration { return 0 },
	})
	b.Close() // from here on the test replaces the duty
	wall := time.Unix(1e9, 0)
	suspects := []poison.Suspect{{Fingerprint: poison.Fingerprint{1}}}

	ledger.Crash(wall, poison.CrashID{Endpoint: "own"}, suspects)
	told := poison.State{Crashes: []poison.Crash{{ID: poison.CrashID{Endpoint: "told"}, AtUnixMS: wall.UnixMilli(), Running: suspects}}}
	is.True(b.evidence.merge(wall, told))
	b.tick(time.Minute)
	is.Equal(len(spread), 1)
	is.Equal(len(spread[0].Crashes), 1)
	is.Equal(spread[0].Crashes[0].ID.Endpoint, id.Endpoint("own"))
	is.Equal(len(relayed), 1)
	is.Equal(relayed[0].Crashes[0].ID.Endpoint, id.Endpoint("told"))

	is.True(!b.evidence.merge(wall, told)) // known evidence is not forwarded
	b.tick(2 * time.Minute)
	is.Equal(len(spread)+len(relayed), 2)
}
