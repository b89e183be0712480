package retry

import "time"

// DefaultJoinDelay is how long it takes at most until all daemons of a fleet know of one
// that has joined it.
const DefaultJoinDelay = 2 * time.Second

// ShareConfig sets the times of a Share.
type ShareConfig struct {
	// Span is that of the windows.
	Span time.Duration
	// PartitionedFor is how long daemons that were lost may be on the other side of a
	// partition: the majority is that of the largest fleet of this time.
	PartitionedFor time.Duration
	// JoinDelay is how long it takes until all daemons know of one that has joined.
	JoinDelay time.Duration
}

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
	cfg ShareConfig
	// joined is set once the daemon has known the fleet. If that happens by adoptedUntil,
	// it goes on with the share of its former process; if by firstUntil, the fleet starts
	// for the first time.
	joined                   bool
	adoptedUntil, firstUntil time.Duration
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

// NewShare returns the Share of a process that starts.
func NewShare(cfg ShareConfig) *Share {
	return &Share{cfg: cfg, largest: newSlots(cfg.Span), quorum: newSlots(cfg.PartitionedFor)}
}

// Adopt is called if the former process has handed its windows on. The share is usable as
// soon as the fleet is known, if that is by until: later, the others may have taken it
// over.
func (s *Share) Adopt(until time.Duration) { s.adoptedUntil = until }

// SetFirstStart is called if the whole fleet starts for the first time. No former process
// has sent retries, so that a daemon that knows the fleet by until need only wait until
// the others know of it.
func (s *Share) SetFirstStart(until time.Duration) { s.firstUntil = until }

// Restart is called if other daemons may have taken over this daemon's share: it has none
// until what they have used meanwhile no longer counts.
func (s *Share) Restart(now time.Duration) { s.usableFrom = now + s.cfg.Span + s.cfg.JoinDelay }

// Observe records what the daemon knows of the fleet. It is called at least a few times
// per span.
func (s *Share) Observe(now time.Duration, f Fleet) {
	s.largest.raise(now, f.Daemons)
	s.quorum.raise(now, f.Daemons)
	s.entitled = f.Daemons > 0 && 2*f.Reached > s.quorum.max()
	if !s.entitled {
		return
	}
	switch {
	case !s.joined:
		s.join(now)
	case now-s.entitledAt > s.cfg.Span:
		s.Restart(now)
	}
	s.joined, s.entitledAt = true, now
}

// join decides from when on a process may use its share that has just got to know the
// fleet.
func (s *Share) join(now time.Duration) {
	switch {
	case now <= s.adoptedUntil:
		s.usableFrom = now
	case now <= s.firstUntil:
		s.usableFrom = now + s.cfg.JoinDelay
	default:
		s.Restart(now)
	}
}

// Sharers returns among how many daemons the slack is divided: the most that were
// observed within the last span. It is 0 while this daemon may use none of the slack.
func (s *Share) Sharers(now time.Duration) int {
	if !s.entitled || now < s.usableFrom || now-s.entitledAt > s.cfg.Span {
		return 0
	}
	s.largest.advance(now)
	return s.largest.max()
}
