// Package uptime tells for how long the platform's store has answered without a
// break. Whether it was away is a fact about the store: one daemon whose calls
// fail can't tell it from trouble of its own, those that were served meanwhile
// can. It has no I/O.
package uptime

import (
	"cmp"
	"slices"
	"time"
)

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
func (s Span) Extend(newest uint64, clock time.Duration, unbroken bool) Span {
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

// join is the span of both, which overlap in time.
func join(a, b Span) Span {
	if b.Last > a.Last {
		a, b = b, a
	}
	a.Since = min(a.Since, b.Since)
	if a.From == 0 || b.From > 0 && b.From < a.From {
		a.From = b.From
	}
	return a
}

func (s Span) overlaps(o Span) bool { return s.Since <= o.Last && o.Since <= s.Last }

// kept is how many spans a History holds: one that follows an outage, and those
// that tell of the removals before.
const maxSpans = 3

// History holds the newest spans, oldest first; no two overlap.
type History []Span

// Add returns the history with one more span; those that overlap with it in time
// are joined.
func (h History) Add(s Span) History {
	if !s.Known() {
		return h
	}
	out := make(History, 0, len(h)+1)
	for _, old := range h {
		if old.overlaps(s) {
			s = join(old, s)
			continue
		}
		out = append(out, old)
	}
	out = append(out, s)
	slices.SortFunc(out, func(a, b Span) int { return cmp.Compare(a.Last, b.Last) })
	return out[max(0, len(out)-maxSpans):]
}

// Newest is the last span; the zero Span where there is none.
func (h History) Newest() Span {
	if len(h) == 0 {
		return Span{}
	}
	return h[len(h)-1]
}
