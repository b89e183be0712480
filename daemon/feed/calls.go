package feed

import "time"

// maxCallGap is the longest gap between two calls to the store that does not break
// their sequence. It is much shorter than the lifetime of an endpoint's entry
// without a heartbeat.
const maxCallGap = time.Second

// callSequence tracks whether calls to the store were made without a gap and
// without a failure.
type callSequence struct {
	unbroken bool
	endedAt  time.Duration
}

// callEnded records the end of a call that did not fail.
func (c *callSequence) callEnded(now time.Duration) { c.endedAt = now }

// interrupted records that a call failed, or that no calls are made for a while.
func (c *callSequence) interrupted() { c.unbroken = false }

// answered records the answer to a call with the timeout limit. It reports whether
// the call followed an answered one. A call that took longer than limit was delayed
// with this process, which is no sign of a failure of the store.
func (c *callSequence) answered(begun, now, limit time.Duration) bool {
	followed := c.unbroken && begun-c.endedAt <= maxCallGap && now-begun <= limit
	c.unbroken = true
	c.callEnded(now)
	return followed
}

// answered reports an answer a of the store; a.Unbroken is not set yet.
func (f *Follower) answered(begun, limit time.Duration, a Answer) {
	a.Unbroken = f.calls.answered(begun, f.now(), limit)
	if f.cfg.Answered != nil {
		f.cfg.Answered(a)
	}
}
