// Package freshness tells how old a daemon's configuration may be. A proof that
// a configuration was the newest one comes from the store; it is dated by the
// store's clock, which never jumps, and handed on unchanged. Nothing makes it
// younger: not a message that was held up, nor a host that stood still. It has
// no I/O.
package freshness

import "time"

// Clock relates the store's clock to the daemon's own. Each call to the store
// bounds the difference: the clock was read between the call and its answer.
type Clock struct {
	sampled bool
	// least and most bound the store's clock minus the daemon's, as of at.
	minOffset, maxOffset time.Duration
	sampledAt            time.Duration
}

// drift is by how much two clocks may part in a second.
const maxDriftPerSecond = 200 * time.Microsecond

// Sample takes what the store's clock showed in the answer to a call.
func (c *Clock) Sample(sent, received, shown time.Duration) {
	least, most := shown-received, shown-sent
	if c.sampled {
		oldLeast, oldMost := c.bounds(received)
		least, most = max(least, oldLeast), min(most, oldMost)
	}
	if !c.sampled || least > most {
		// Bounds that exclude each other: the store's clock began anew.
		least, most = shown-received, shown-sent
	}
	c.sampled, c.minOffset, c.maxOffset, c.sampledAt = true, least, most, received
}

// bounds are those of the difference at a later moment.
func (c *Clock) bounds(now time.Duration) (least, most time.Duration) {
	slack := time.Duration(float64(maxDriftPerSecond) * max(0, (now-c.sampledAt).Seconds()))
	return c.minOffset - slack, c.maxOffset + slack
}

// Shown is what the store's clock showed at least at a moment of the daemon's;
// ok is false before the first sample.
func (c *Clock) MinStoreTime(at time.Duration) (shown time.Duration, ok bool) {
	least, _ := c.bounds(at)
	return at + least, c.sampled
}

// Earliest is the first moment of the daemon's at which the store's clock can
// have shown a time; ok is false before the first sample.
func (c *Clock) MinLocalTime(now, shown time.Duration) (at time.Duration, ok bool) {
	_, most := c.bounds(now)
	return shown - most, c.sampled
}
