package gateway

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/readers"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// In a large fleet a daemon is connected to its neighbours and to a few hubs,
// which are connected to all: the owners of pools, those who follow them in rank
// and take over when they die, and those that tell of the store's tables. What
// all must hear goes by the hubs.

// hubSettle is how long a daemon must have been a hub before it connects to all
// others: while a fleet starts, each may take itself for one.
const hubSettle = time.Second

// hub says whether this daemon acts as a hub.
type hub struct {
	chosen bool
	since  time.Duration
}

// settled takes whether the daemon is chosen, and says whether it has been for
// a while.
func (h *hub) update(now time.Duration, chosen bool) bool {
	if chosen && !h.chosen {
		h.since = now
	}
	h.chosen = chosen
	return chosen && now-h.since >= hubSettle
}

// standsBy says whether a daemon would own a pool if the pool's owner died: the
// others' requests should find it connected then, and not have to wait for 200
// handshakes on one host.
func (d *Daemon) isStandbyOwner(self id.Daemon, candidates []readers.Candidate) bool {
	able := capacity.Able(candidates, func(c readers.Candidate) capacity.Capacity { return c.Capacity })
	names := make([]id.Daemon, 0, len(able))
	for _, c := range able {
		names = append(names, c.Daemon)
	}
	for _, pool := range poolNames(d.tables.current().Routes) {
		ranked := rendezvous.Ranked(string(pool), names)
		if len(ranked) > 1 && ranked[1] == self {
			return true
		}
	}
	return false
}

// evidenceRetry is how long evidence waits while this daemon does not know yet
// who tells all.
const evidenceRetry = 500 * time.Millisecond

// spreadEvidence tells the others of evidence that is new here: all of them, or
// in a large fleet the daemons that tell all.
func (d *Daemon) spreadEvidence(f *fleet, s poison.State) {
	if !f.members.Large() || f.broadcasts.Load() {
		f.links().SendEvidence(f.members.Others(), s)
		return
	}
	to := f.otherReaders()
	if len(to) > 0 {
		f.links().SendEvidence(to, s)
		return
	}
	time.AfterFunc(evidenceRetry, func() {
		if d.ctx.Err() == nil {
			d.spreadEvidence(f, s)
		}
	})
}

// otherReaders are the other daemons that tell of the store's tables, as far as
// they are known.
func (f *fleet) otherReaders() []id.Daemon {
	chosen := f.readers.Load()
	if chosen == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(*chosen), func(d id.Daemon) bool { return d == f.self.Daemon })
}

// relayEvidence passes on what another daemon told: to all where this one tells
// all, else to a few, which makes up for what the first sending missed. In a
// large fleet each daemon hears of it from several that tell all.
func (d *Daemon) relayEvidence(f *fleet, s poison.State) {
	switch {
	case !f.members.Large():
		f.links().RelayEvidence(f.members.Others(), s)
	case f.broadcasts.Load():
		f.links().SendEvidence(f.members.Others(), s)
	}
}
