package retry

import "time"

// joinDelay is how long it takes at most until all daemons of a fleet know of one that has
// joined it.
const joinDelay = 2 * time.Second

// Fleet is what a daemon knows of the daemons that share the slack, this one included.
type Fleet struct {
	// Daemons is the number of daemons that may be running; 0 if it is not known.
	Daemons int
	// Reached is the number of daemons that this one reaches.
	Reached int
}

// Share determines one daemon's share of the fleet's slack, so that all processes together
// use no more than the slack in any span.
//
// What a process has used is forgotten when it ends, but its retries count for one span
// longer. Its successor has no share for that time, unless it is told of them. For the
// same reason, the share of a daemon that is gone goes to the others one span later. A
// daemon that doesn't reach the majority has no share, since the others may take it over.
//
// It is not safe for concurrent use.
type Share struct {
	span time.Duration
	// joined is set once the daemon has known the fleet. If that happens by noWaitUntil,
	// it need not wait.
	joined      bool
	noWaitUntil time.Duration
	// usableFrom is when the daemon may begin to use its share.
	usableFrom time.Duration
	// entitled reports whether the daemon reached the majority when it last observed
	// the fleet, entitledAt is when it last did.
	entitled   bool
	entitledAt time.Duration
	// largest holds the largest number of daemons in each slot of a span, quorum that in
	// each slot of the time for which silent daemons count as partitioned.
	largest slots
	quorum  slots
}

// NewShare returns the Share of a process that starts. span is that of the windows. Daemons
// that were lost within partitionedFor may be on the other side of a partition: the
// majority is that of the largest fleet of this time.
func NewShare(span, partitionedFor time.Duration) *Share {
	return &Share{span: span, largest: newSlots(span), quorum: newSlots(partitionedFor)}
}

// SkipWait makes the share usable as soon as the fleet is known. It is called if no former
// process has sent retries that this one doesn't know of: the whole fleet starts for the
// first time, or the former process has handed its account on. After until it has no
// effect: the others may have taken the share over.
func (s *Share) SkipWait(until time.Duration) { s.noWaitUntil = until }

// Restart is called if other daemons may have taken over this daemon's share: it has none
// until what they have used meanwhile no longer counts.
func (s *Share) Restart(now time.Duration) { s.usableFrom = now + s.span + joinDelay }

// Observe records what the daemon knows of the fleet. It is called at least a few times
// per span.
func (s *Share) Observe(now time.Duration, f Fleet) {
	s.largest.raise(now, f.Daemons)
	s.quorum.raise(now, f.Daemons)
	s.entitled = f.Daemons > 0 && 2*f.Reached > s.quorum.max()
	if !s.entitled {
		return
	}
	lapsed := s.joined && now-s.entitledAt > s.span
	if lapsed || !s.joined && now > s.noWaitUntil {
		s.Restart(now)
	}
	s.joined, s.entitledAt = true, now
}

// Sharers returns among how many daemons the slack is divided: the most that were
// observed within the last span. It is 0 while this daemon may use none of the slack.
func (s *Share) Sharers(now time.Duration) int {
	if !s.entitled || now < s.usableFrom || now-s.entitledAt > s.span {
		return 0
	}
	s.largest.advance(now)
	return s.largest.max()
}
