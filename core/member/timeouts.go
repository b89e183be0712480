package member

import "time"

// maxPeriodFactor bounds the time between heartbeats, as a multiple of the
// configured period. Timeouts grow by no more than this factor, whatever period a
// daemon reports.
const maxPeriodFactor = 16

// periodOf returns the configured time between a daemon's heartbeats.
func (c *Config) periodOf(e *Entry) time.Duration {
	if e.Watched && c.WatchedPeriod > 0 {
		return c.WatchedPeriod
	}
	return c.Period
}

// periodFactor returns the ratio of the period that a daemon reports to the
// configured one, between 1 and maxPeriodFactor.
func (c *Config) periodFactor(e *Entry) float64 {
	period := c.periodOf(e)
	if e.Period <= period {
		return 1
	}
	return min(float64(e.Period)/float64(period), maxPeriodFactor)
}

// suspectAfter returns how long a daemon may be silent before it is suspected.
func (c *Config) suspectAfter(e *Entry) time.Duration {
	after := c.SuspectAfter
	if e.Watched && c.WatchedSuspect > 0 {
		after = c.WatchedSuspect
	}
	return time.Duration(c.periodFactor(e) * float64(after))
}

// deadAfter returns how long a daemon may be silent before it is declared dead.
func (c *Config) deadAfter(e *Entry) time.Duration {
	after := c.DeadAfter
	if e.Watched && c.WatchedDead > 0 {
		after = c.WatchedDead
	}
	return time.Duration(c.periodFactor(e) * float64(after))
}
