package feed

import "time"

// mostBetween is the longest pause between two calls to the store that counts as
// none: much less than what an endpoint's entry lives without a heartbeat.
const maxCallGap = time.Second

// calls tells whether calls to the store followed each other and none failed.
type callSequence struct {
	unbroken bool
	endedAt  time.Duration
}

// ended notes the end of a call that did not fail.
func (c *callSequence) callEnded(now time.Duration) { c.endedAt = now }

// broken notes that a call failed, or that none is made for a while.
func (c *callSequence) interrupted() { c.unbroken = false }

// answered notes the answer to a call that was to take limit at most; it says
// whether the call followed an answered one. A call that took longer was held up
// with this process, which tells nothing of the store.
func (c *callSequence) answered(begun, now, limit time.Duration) bool {
	followed := c.unbroken && begun-c.endedAt <= maxCallGap && now-begun <= limit
	c.unbroken = true
	c.callEnded(now)
	return followed
}

// answered tells of an answer of the store.
func (f *Follower) answered(begun, limit time.Duration, newest uint64, clock time.Duration) {
	unbroken := f.calls.answered(begun, f.now(), limit)
	if f.cfg.Answered != nil {
		f.cfg.Answered(Answer{Newest: newest, Clock: clock, Unbroken: unbroken})
	}
}
