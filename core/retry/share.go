package retry

import "time"

// joinDelay is how long it takes at most until all daemons of a fleet know of one that
// has joined it.
const joinDelay = 2 * time.Second

// Share determines which part of the fleet's slack one daemon may use, so that all
// processes together use no more than the slack in any span. What a process has used is
// forgotten when it ends, but its retries count for one span longer. Its successor
// therefore has no part of the slack for that time. It is not safe for concurrent use.
type Share struct {
	span time.Duration
	// usableFrom is when the daemon may begin to use its part.
	usableFrom time.Duration
	// sharers is the number of daemons that share the slack; 0 until it is known.
	sharers int
}

// NewShare returns the Share of a process that starts now; span is that of the windows.
func NewShare(now, span time.Duration) *Share {
	return &Share{span: span, usableFrom: now + span + joinDelay}
}

// SkipWait makes the part usable at once. It is called if the whole fleet starts for the
// first time, so that no former process has sent any retry.
func (s *Share) SkipWait() { s.usableFrom = 0 }

// Observe records the number of daemons that share the slack, this one included; 0 if
// it is not known.
func (s *Share) Observe(sharers int) { s.sharers = sharers }

// Sharers returns among how many daemons the slack is divided; 0 while this daemon may
// use none of it.
func (s *Share) Sharers(now time.Duration) int {
	if now < s.usableFrom {
		return 0
	}
	return s.sharers
}
