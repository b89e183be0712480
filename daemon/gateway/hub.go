package gateway

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/readers"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// In a large fleet each daemon is connected to its neighbours and to a few hubs,
// which are connected to all daemons. Hubs are the owners of pools, the daemons
// next in rank that take over when an owner fails, and the daemons that broadcast
// changes of the store's tables. Messages to all daemons go through the hubs.

// hubSettle is how long a daemon must have been chosen as a hub before it connects
// to all others. While a fleet starts, each daemon may choose itself until it has
// heard of the others.
const hubSettle = time.Second

// hub tracks whether this daemon is chosen as a hub, and since when.
type hub struct {
	chosen bool
	since  time.Duration
}

// update records whether the daemon is chosen, and reports whether it has been
// chosen for at least hubSettle.
func (h *hub) update(now time.Duration, chosen bool) bool {
	if chosen && !h.chosen {
		h.since = now
	}
	h.chosen = chosen
	return chosen && now-h.since >= hubSettle
}

// isStandbyOwner reports whether a daemon is next in rank after the owner of a pool.
// A standby owner connects to all daemons in advance, so that after a takeover
// requests don't wait for 200 handshakes on one host.
func (d *Daemon) isStandbyOwner(self id.Daemon, candidates []readers.Candidate) bool {
	able := capacity.SelectAble(candidates, func(c readers.Candidate) capacity.Capacity { return c.Capacity })
	names := make([]id.Daemon, 0, len(able))
	for _, c := range able {
		names = append(names, c.Daemon)
	}
	routes := d.tables.current().Routes
	for _, pool := range slices.Concat(poolNames(routes), callPoolNames(routes, d.callQueue())) {
		ranked := rendezvous.Ranked(string(pool), names)
		if len(ranked) > 1 && ranked[1] == self {
			return true
		}
	}
	return false
}

// recipients returns the daemons to which this one sends what all are to know: all
// others or, in a large fleet, only those that broadcast, which forward it to all. It
// returns false while those are not known.
func (f *fleet) recipients() ([]id.Daemon, bool) {
	if !f.members.Large() || f.broadcasts.Load() {
		return f.members.Others(), true
	}
	to := f.otherReaders()
	return to, len(to) > 0
}

// otherReaders returns the other daemons that broadcast changes of the store's
// tables; nil if they are not known yet.
func (f *fleet) otherReaders() []id.Daemon {
	chosen := f.readers.Load()
	if chosen == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(*chosen), func(d id.Daemon) bool { return d == f.self.Daemon })
}
