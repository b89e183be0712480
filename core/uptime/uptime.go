// Package uptime tells for how long the platform's store has answered without a
// break. Whether it was away is a fact about the store: one daemon whose calls
// fail can't tell it from trouble of its own, those that were served meanwhile
// can. It has no I/O.
package uptime

import "time"

// ReturnGrace is how long after the store's return what lapsed with it may take
// to be written again; the platform promises about two seconds.
const ReturnGrace = 2300 * time.Millisecond

// Span is a time in which the store answered a daemon, call after call. The
// spans of several daemons add up.
type Span struct {
	// From is the version of the store's newest change once it had answered for
	// ReturnGrace, Until that at the last answer. From is 0 before.
	From  uint64 `cbor:"1,keyasint,omitempty"`
	Until uint64 `cbor:"2,keyasint"`
	// Since and Last are the times of the first and the last answer by the store's
	// clock.
	Since time.Duration `cbor:"3,keyasint"`
	Last  time.Duration `cbor:"4,keyasint"`
}

// Known says whether the span holds an answer.
func (s Span) Known() bool { return s.Last > 0 }

// Answered adds an answer of the store to the span; unbroken says that no call
// before it failed, and that the calls followed each other.
func (s Span) Answered(newest uint64, clock time.Duration, unbroken bool) Span {
	if !unbroken || !s.Known() || clock < s.Last || newest < s.Until {
		return Span{Until: newest, Since: clock, Last: clock}
	}
	s.Until, s.Last = newest, clock
	if s.From == 0 && s.Length() >= ReturnGrace {
		s.From = newest
	}
	return s
}

// Covers says whether the store was there throughout all its changes behind one
// version up to another, and for ReturnGrace before: what they removed did not
// lapse because it had been away.
func (s Span) Covers(behind, upTo uint64) bool {
	return s.From > 0 && s.From <= behind && upTo <= s.Until
}

// Length is how long the store answered.
func (s Span) Length() time.Duration { return s.Last - s.Since }

// Join is the span of both where they overlap in time, else the later one.
func Join(a, b Span) Span {
	if !a.Known() || b.Known() && b.Last > a.Last {
		a, b = b, a
	}
	// a ends last.
	if !b.Known() || b.Last < a.Since {
		return a
	}
	a.Since = min(a.Since, b.Since)
	if a.From == 0 || b.From > 0 && b.From < a.From {
		a.From = b.From
	}
	return a
}
