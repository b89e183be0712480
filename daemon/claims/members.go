package claims

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

const (
	// ownWriters is the largest fleet in which each daemon writes its own
	// claims: beyond it the gap between two transactions of one daemon would
	// be too long a wait.
	maxSelfWriters = 24
	// writerCount is how many daemons write claims in a larger fleet.
	writerCount = 4
	// writerBudget is the number of transactions a second that the writers
	// share, over the whole fleet.
	writerBudget = 240
	// otherBudget is what the other daemons of a larger fleet share, for the
	// releases and outcomes that no writer took.
	nonWriterBudget = 40
)

// SetMembers takes the live daemons, this one among them: it chooses the
// writers of claims and keeps this daemon within its share of the table's
// write rate.
func (c *Claims) SetMembers(members []id.Daemon) {
	writers := chooseWriters(members, c.cfg.Writers != nil)
	c.writers.Store(&writers)
	gap := gapOf(c.cfg.Self.Daemon, len(members), writers)
	c.duty.Post(func(time.Duration) { c.core.SetGap(gap) })
}

// chooseWriters names the writers; none means that each daemon is its own.
func chooseWriters(members []id.Daemon, reachable bool) []id.Daemon {
	if !reachable || len(members) <= maxSelfWriters {
		return nil
	}
	return claim.Writers(members, writerCount)
}

// gapOf is the least time between two transactions of a daemon.
func gapOf(self id.Daemon, members int, writers []id.Daemon) time.Duration {
	switch {
	case len(writers) == 0:
		return claim.GapFor(writerBudget, members)
	case slices.Contains(writers, self):
		return claim.GapFor(writerBudget, len(writers))
	default:
		return claim.GapFor(nonWriterBudget, members-len(writers))
	}
}

// writersOf ranks the daemons that may write a row, the first one first. It is
// empty where this daemon writes it by itself.
func (c *Claims) writersOf(row string) []id.Daemon {
	writers := c.writers.Load()
	if writers == nil || len(*writers) == 0 || claim.WriterFor(row, *writers) == c.cfg.Self.Daemon {
		return nil
	}
	return rendezvous.Ranked(row, *writers)
}
