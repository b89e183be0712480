// Package freshness tracks how old a daemon's configuration may be. The proof that
// a configuration was the newest one comes from the store. It is dated by the
// store's clock, which never jumps, and is forwarded unchanged, so that neither a
// delayed message nor a frozen host makes it look more recent. The package does no
// I/O.
package freshness

import "time"

// Clock estimates the offset between the store's clock and the daemon's own. Each
// call to the store bounds it: the store's clock was read between the call and its
// reply.
type Clock struct {
	sampled bool
	// minOffset and maxOffset bound the store's clock minus the daemon's, as of
	// sampledAt.
	minOffset, maxOffset time.Duration
	sampledAt            time.Duration
}

// maxDriftPerSecond is by how much two clocks may diverge in a second.
const maxDriftPerSecond = 200 * time.Microsecond

// Sample records the time of the store's clock that the reply to a call contained.
// sent and received are by the daemon's clock.
func (c *Clock) Sample(sent, received, shown time.Duration) {
	lower, upper := shown-received, shown-sent
	if c.sampled {
		oldLower, oldUpper := c.bounds(received)
		lower, upper = max(lower, oldLower), min(upper, oldUpper)
	}
	if !c.sampled || lower > upper {
		// The bounds exclude each other: the store's clock was reset.
		lower, upper = shown-received, shown-sent
	}
	c.sampled, c.minOffset, c.maxOffset, c.sampledAt = true, lower, upper, received
}

// bounds returns the bounds of the offset at a later time, widened by the drift.
func (c *Clock) bounds(now time.Duration) (lower, upper time.Duration) {
	slack := time.Duration(float64(maxDriftPerSecond) * max(0, (now-c.sampledAt).Seconds()))
	return c.minOffset - slack, c.maxOffset + slack
}

// MinStoreTime returns the least time that the store's clock can have shown at a
// time of the daemon's clock; ok is false before the first sample.
func (c *Clock) MinStoreTime(at time.Duration) (shown time.Duration, ok bool) {
	lower, _ := c.bounds(at)
	return at + lower, c.sampled
}

// MinLocalTime returns the earliest time of the daemon's clock at which the store's
// clock can have shown a given time; ok is false before the first sample.
func (c *Clock) MinLocalTime(now, shown time.Duration) (at time.Duration, ok bool) {
	_, upper := c.bounds(now)
	return shown - upper, c.sampled
}
