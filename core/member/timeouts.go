package member

import "time"

// mostStretch bounds how many times the configured period the time between
// heartbeats may be, and is believed to be: whoever says more is suspected.
const maxPeriodFactor = 16

// periodOf is the configured time between a daemon's heartbeats.
func (c *Config) periodOf(e *Entry) time.Duration {
	if e.Watched && c.WatchedPeriod > 0 {
		return c.WatchedPeriod
	}
	return c.Period
}

// stretch is how many times that it really is, by the daemon's own word.
func (c *Config) periodFactor(e *Entry) float64 {
	period := c.periodOf(e)
	if e.Period <= period {
		return 1
	}
	return min(float64(e.Period)/float64(period), maxPeriodFactor)
}

// suspectAfter is how long a daemon may be silent before it is suspected.
func (c *Config) suspectAfter(e *Entry) time.Duration {
	after := c.SuspectAfter
	if e.Watched && c.WatchedSuspect > 0 {
		after = c.WatchedSuspect
	}
	return time.Duration(c.periodFactor(e) * float64(after))
}

// deadAfter is how long a daemon may be silent before it is taken for dead.
func (c *Config) deadAfter(e *Entry) time.Duration {
	after := c.DeadAfter
	if e.Watched && c.WatchedDead > 0 {
		after = c.WatchedDead
	}
	return time.Duration(c.periodFactor(e) * float64(after))
}
