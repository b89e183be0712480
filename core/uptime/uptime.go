// Package uptime tracks for how long the platform's store has responded without
// interruption. A daemon whose calls fail can't distinguish an outage of the store
// from a fault of its own; daemons that were served in the meantime can. The package
// performs no I/O.
package uptime

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ReturnGrace is how long after the store's return entries that lapsed in an outage
// may take to be written again; the platform promises about two seconds.
const ReturnGrace = 2300 * time.Millisecond

// Span is a time span in which the store responded to every call of a daemon.
// Overlapping spans of several daemons can be joined.
type Span struct {
	// From is the version of the store's newest change once it had responded for
	// ReturnGrace, and 0 until then. Until is that version at the last response.
	From  uint64 `cbor:"1,keyasint,omitempty"`
	Until uint64 `cbor:"2,keyasint"`
	// Since and Last are the times of the first and the last response by the store's
	// clock.
	Since time.Duration `cbor:"3,keyasint"`
	Last  time.Duration `cbor:"4,keyasint"`
}

// Known reports whether the span includes a response.
func (s Span) Known() bool { return s.Last > 0 }

// Extend returns the span extended by a response of the store, or a new span if the
// response does not continue s: a span lies within one era of the store. Set unbroken if no call since the previous response
// failed and the calls followed each other.
func (s Span) Extend(newest uint64, clock time.Duration, unbroken bool) Span {
	sameEra := table.Era(newest) == table.Era(s.Until)
	if !unbroken || !s.Known() || clock < s.Last || newest < s.Until || !sameEra {
		return Span{Until: newest, Since: clock, Last: clock}
	}
	s.Until, s.Last = newest, clock
	if s.From == 0 && s.Duration() >= ReturnGrace {
		s.From = newest
	}
	return s
}

// Covers reports whether the store was available throughout its changes with versions
// after < v <= upTo, and for ReturnGrace before: entries that these changes removed
// did not lapse because of an outage.
func (s Span) Covers(after, upTo uint64) bool {
	return s.From > 0 && s.From <= after && upTo <= s.Until
}

// Duration returns the time from the first to the last response.
func (s Span) Duration() time.Duration { return s.Last - s.Since }

// join returns the union of two spans that overlap in time.
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

func (s Span) overlaps(o Span) bool {
	return s.Since <= o.Last && o.Since <= s.Last && table.Era(s.Until) == table.Era(o.Until)
}

// maxSpans is how many spans a History holds: one that follows an outage, and those
// needed for removals before it.
const maxSpans = 3

// History holds the latest spans, oldest first; no two overlap.
type History []Span

// Add returns the history with one more span, joined with the spans that overlap it in
// time.
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

// Latest returns the last span, or the zero Span if there is none.
func (h History) Latest() Span {
	if len(h) == 0 {
		return Span{}
	}
	return h[len(h)-1]
}
