// Package readers selects the daemons that read the platform's store for the
// whole fleet. They broadcast each change to the other daemons, so that the number
// of calls to the store does not grow with the fleet. Each daemon decides from its
// own view of the membership, without coordination. The package is deterministic.
package readers

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

const (
	// Count is the number of readers: two may fail at once and changes still arrive
	// without waiting for the membership to detect the failures.
	Count = 3
	// settleTime is how long enough other daemons must have been chosen before a
	// daemon stops reading. It prevents a membership view that is still forming
	// from stopping readers.
	settleTime = time.Second
	// rankingKey is the rendezvous key by which the readers are ranked.
	rankingKey = "store"
)

// Candidate is a live daemon that may be chosen as a reader.
type Candidate struct {
	Daemon id.Daemon
	Domain id.Domain
	// StoreLost is set while the daemon gets no answers from the store.
	StoreLost bool
	Capacity  capacity.Capacity
}

// Choose returns the readers, in different failure domains as far as possible.
// It skips daemons that get no answers from the store, and daemons on small hosts
// unless fewer than Count others are left.
func Choose(candidates []Candidate) []id.Daemon {
	served := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.StoreLost })
	able := capacity.SelectAble(served, func(c Candidate) capacity.Capacity { return c.Capacity })
	if len(able) < Count {
		able = served
	}
	domains := make(map[id.Daemon]id.Domain, len(able))
	names := make([]id.Daemon, 0, len(able))
	for _, c := range able {
		domains[c.Daemon] = c.Domain
		names = append(names, c.Daemon)
	}
	return spreadOverDomains(rendezvous.Ranked(rankingKey, names), domains)
}

// spreadOverDomains returns the first Count daemons, taking the first of each
// domain before all others.
func spreadOverDomains(ranked []id.Daemon, domains map[id.Daemon]id.Domain) []id.Daemon {
	var chosen, rest []id.Daemon
	seen := map[id.Domain]bool{}
	for _, d := range ranked {
		if seen[domains[d]] {
			rest = append(rest, d)
			continue
		}
		seen[domains[d]] = true
		chosen = append(chosen, d)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(Count, len(chosen))]
}

// startupWait is how long a daemon waits after its start to discover the others
// before it follows the store. It has just read the store's tables, and when a
// whole fleet starts, all daemons would otherwise follow them until they have
// discovered one another.
const startupWait = 1500 * time.Millisecond

// Decision decides whether one daemon reads. Initially the daemon does not.
type Decision struct {
	self id.Daemon
	// started is set at the first decision, which is made at startedAt.
	started   bool
	startedAt time.Duration
	// startupOver is set once the wait after the start is over.
	startupOver bool
	reading     bool
	chosen      []id.Daemon
	// othersSince is the time since which enough others are chosen; valid only if
	// othersSuffice is set.
	othersSince   time.Duration
	othersSuffice bool
	// broadcasts is set while the daemon sends changes to the others.
	broadcasts bool
}

// NewDecision returns the decision of the daemon self.
func NewDecision(self id.Daemon) *Decision { return &Decision{self: self} }

// Broadcasts reports whether the daemon broadcasts the changes that it reads: once the
// wait after the start is over, it does if it is chosen or fewer than Count daemons
// are. A daemon that only continues to read during settleTime does not, since a
// change that arrives after a gap makes each receiver read the whole table again.
func (d *Decision) Broadcasts() bool { return d.broadcasts }

// Chosen returns the readers as of the last decision.
func (d *Decision) Chosen() []id.Daemon { return d.chosen }

// StartupOver reports whether the wait after the start is over.
func (d *Decision) StartupOver() bool { return d.startupOver }

// Decide reports whether the daemon reads, given the current candidates and whether
// it is the only daemon that ever enrolled. After startupWait, or at once if it is
// the only one, it reads if it is chosen or fewer than Count daemons are. It stops
// once enough others have been chosen for settleTime.
func (d *Decision) Decide(now time.Duration, candidates []Candidate, only bool) bool {
	if !d.started {
		d.started, d.startedAt = true, now
	}
	d.startupOver = d.startupOver || only || now-d.startedAt >= startupWait
	d.chosen = Choose(candidates)
	needed := len(d.chosen) < Count || slices.Contains(d.chosen, d.self)
	d.broadcasts = needed && d.startupOver
	if needed {
		d.othersSuffice = false
		d.reading = d.broadcasts
		return d.reading
	}
	if !d.othersSuffice {
		d.othersSuffice = true
		d.othersSince = now
	}
	d.reading = d.reading && now-d.othersSince < settleTime
	return d.reading
}
