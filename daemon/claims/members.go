package claims

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

const (
	// maxSelfWriters is the size of the largest fleet in which each daemon writes
	// its own claims. In a larger fleet the interval between two transactions of one
	// daemon would delay calls for too long.
	maxSelfWriters = 24
	// writerCount is the number of daemons that write claims in a larger fleet.
	writerCount = 4
	// writerBudget is the rate of transactions that all writers of the fleet
	// together may use, per second.
	writerBudget = 240
	// nonWriterBudget is the rate of transactions, per second, that the other daemons
	// of a larger fleet share for releases and for outcomes that no writer accepted.
	nonWriterBudget = 40
)

// SetMembers sets the live daemons, including this one. It chooses the writers of
// claims and limits this daemon to its share of the table's write rate.
func (c *Claims) SetMembers(members []id.Daemon) {
	writers := chooseWriters(members, c.cfg.Writers != nil)
	c.writers.Store(&writers)
	interval := minIntervalOf(c.cfg.Self.Daemon, len(members), writers)
	c.duty.Post(func(time.Duration) { c.core.SetMinInterval(interval) })
}

// chooseWriters returns the writers. It returns none if each daemon writes its own
// claims.
func chooseWriters(members []id.Daemon, reachable bool) []id.Daemon {
	if !reachable || len(members) <= maxSelfWriters {
		return nil
	}
	return claim.Writers(members, writerCount)
}

// minIntervalOf returns the minimum interval between two transactions of a daemon.
func minIntervalOf(self id.Daemon, members int, writers []id.Daemon) time.Duration {
	switch {
	case len(writers) == 0:
		return claim.MinIntervalFor(writerBudget, members)
	case slices.Contains(writers, self):
		return claim.MinIntervalFor(writerBudget, len(writers))
	default:
		return claim.MinIntervalFor(nonWriterBudget, members-len(writers))
	}
}

// writersOf returns the daemons that may write a row, in order of preference. It
// returns none if this daemon writes the row itself.
func (c *Claims) writersOf(row string) []id.Daemon {
	writers := c.writers.Load()
	if writers == nil || len(*writers) == 0 || claim.WriterFor(row, *writers) == c.cfg.Self.Daemon {
		return nil
	}
	return rendezvous.Ranked(row, *writers)
}
