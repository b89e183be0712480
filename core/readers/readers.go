// Package readers chooses which daemons follow the platform's store for the
// whole fleet. They tell the others of each change, so that the calls to the
// store don't grow with the fleet. Every daemon decides from its own view of
// the membership, without asking. It is deterministic.
package readers

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

const (
	// Count is how many daemons read: two may fail at once without anyone
	// waiting for the membership to find it out.
	Count = 3
	// settle is how long others must have been reading before a daemon leaves
	// it to them: a view that is just forming must not stop anybody.
	settleTime = time.Second
	// key is what the readers are chosen by.
	rankingKey = "store"
)

// Candidate is a daemon that is alive.
type Candidate struct {
	Daemon id.Daemon
	Domain id.Domain
	// StoreLost is set while the store does not answer the daemon.
	StoreLost bool
	Capacity  capacity.Capacity
}

// Choose returns the daemons that read, in different failure domains as far as
// there are any. Those that the store does not answer are passed over, and those
// on small hosts, unless too few others are left.
func Choose(candidates []Candidate) []id.Daemon {
	served := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.StoreLost })
	able := capacity.Able(served, func(c Candidate) capacity.Capacity { return c.Capacity })
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

// spread takes the first of each domain, then the first of the rest.
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

// startWait is how long a daemon that has started waits to hear of the others
// before it follows the store: it has just read its tables, and where a whole
// fleet starts, all would follow them until they know of one another.
const startupWait = 1500 * time.Millisecond

// Decision says whether one daemon reads. It begins without.
type Decision struct {
	self id.Daemon
	// begun is set at the first decision, at beganAt.
	started   bool
	startedAt time.Duration
	// waited is set once the wait of the start is over.
	startupOver bool
	reading     bool
	chosen      []id.Daemon
	// since is when enough others began to read; meaningless unless others is set.
	othersSince   time.Duration
	othersSuffice bool
	// tells is set while the daemon reads for others as well.
	announces bool
}

// NewDecision returns the decision of the daemon self.
func NewDecision(self id.Daemon) *Decision { return &Decision{self: self} }

// Tells says whether the daemon tells the others of what it reads: where it is
// chosen, or others are too few. One that only reads on until the others have
// settled keeps it to itself: news with gaps before them have each of the others
// read a table anew.
func (d *Decision) Tells() bool { return d.announces }

// Chosen are the daemons that read for all, as of the last decision.
func (d *Decision) Chosen() []id.Daemon { return d.chosen }

// Waited says whether the daemon has waited to hear of others, and decides.
func (d *Decision) Waited() bool { return d.startupOver }

// Decide tells whether the daemon reads, given the candidates of the moment and
// whether it is the only one that ever enrolled. Behind the wait of its start it
// begins at once where it is chosen or others are too few, and leaves it to
// others once these have been enough for a while.
func (d *Decision) Decide(now time.Duration, candidates []Candidate, only bool) bool {
	if !d.started {
		d.started, d.startedAt = true, now
	}
	d.startupOver = d.startupOver || only || now-d.startedAt >= startupWait
	d.chosen = Choose(candidates)
	needed := len(d.chosen) < Count || slices.Contains(d.chosen, d.self)
	d.announces = needed && d.startupOver
	if needed {
		d.othersSuffice = false
		d.reading = d.announces
		return d.reading
	}
	if !d.othersSuffice {
		d.othersSuffice = true
		d.othersSince = now
	}
	d.reading = d.reading && now-d.othersSince < settleTime
	return d.reading
}
