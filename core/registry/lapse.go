package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/uptime"
)

// lapse is an entry that is kept though the store no longer has it. It was
// removed by a change behind one version of the store and up to another.
type lapsedEntry struct {
	entry       Endpoint
	after, upTo uint64
}

// absence is what is known of the store's being away. That a daemon's own calls
// fail is no proof of it: others may be served meanwhile.
type outage struct {
	// away is set while the store does not answer this daemon.
	away bool
	// until is when entries that have gone may no longer come back, where no span
	// says more; meaningless while away.
	returnUntil time.Duration
	// ownUntil is until where this daemon found out itself, and not by others' word.
	ownReturnUntil time.Duration
	// returnedAt is when the store was back, by its clock, as others told last.
	returnedAt time.Duration
	// askAt is when others are asked again.
	nextQuery time.Duration
	// own is the span in which this daemon was served last, spans are all others,
	// also those in which other daemons were.
	ownSpan uptime.Span
	spans   uptime.History
	// listed is the newest version of the store up to which another daemon knows the
	// list.
	listed uint64
}

// possible says whether an entry that has gone now may have lapsed because the
// store was away.
func (a *outage) mayHaveLapsed(now time.Duration) bool { return a.away || now < a.returnUntil }

// StoreLost notes that the store does not answer this daemon.
func (l *List) StoreLost() { l.outage.away = true }

// StoreBack notes that the store answers this daemon again.
func (l *List) StoreBack(now time.Duration) {
	a := &l.outage
	if !a.away {
		return
	}
	a.away = false
	l.Suspect(now)
}

// Suspect notes that the store may have been away until now: this daemon has not
// called it meanwhile, and others that did got no answer.
func (l *List) Suspect(now time.Duration) {
	a := &l.outage
	a.ownReturnUntil = now + uptime.ReturnGrace
	a.returnUntil = max(a.returnUntil, a.ownReturnUntil)
}

// Answered notes an answer of the store to this daemon: the version of its
// newest change, and its clock. Unbroken says that the call followed another one
// that was answered.
func (l *List) Answered(newest uint64, clock time.Duration, unbroken bool) {
	a := &l.outage
	next := a.ownSpan.Extend(newest, clock, unbroken)
	if next.Since != a.ownSpan.Since {
		a.spans = a.spans.Add(a.ownSpan)
	}
	a.ownSpan = next
}

// Current notes that the list is known up to the last answer of the store to this
// daemon.
func (l *List) Current() { l.position = max(l.position, l.outage.ownSpan.Until) }

// Uptime is when the store is known to have answered, to be told to others.
func (l *List) Uptime() uptime.History { return l.outage.spans.Add(l.outage.ownSpan) }

// Learn takes another daemon's word of when the store answered, and up to which
// version the list is known there. It says whether entries were dropped for it.
func (l *List) Learn(told uptime.History, listed uint64) bool {
	a := &l.outage
	a.listed = max(a.listed, listed)
	for _, s := range told {
		a.spans = a.spans.Add(s)
	}
	return l.Settle()
}

// MayReturn notes by another daemon's word that the store was away: entries that
// have gone since may come back until it has answered for uptime.ReturnGrace.
// Hearing of the same return again adds nothing.
func (l *List) MayReturn(now time.Duration) {
	a, newest := &l.outage, l.Uptime().Newest()
	if newest.Since == a.returnedAt {
		return
	}
	a.returnedAt = newest.Since
	a.returnUntil = max(a.returnUntil, now+uptime.ReturnGrace-newest.Length())
}

// Doubts says whether entries that have gone may come back.
func (l *List) Doubts(now time.Duration) bool { return l.outage.mayHaveLapsed(now) }

// Ask says whether to ask other daemons now when the store answered them, and up
// to which of its versions their answer should reach. A daemon whose own calls
// failed, or whose entries are overdue, asks each time; one that keeps entries by
// others' word, as the whole fleet may, asks with a pause between.
func (l *List) Ask(now, pause time.Duration) (upTo uint64, ask bool) {
	a := &l.outage
	if len(l.lapsed) == 0 {
		return l.position, false
	}
	if !a.away && now >= a.ownReturnUntil && now < a.returnUntil && now < a.nextQuery {
		return l.position, false
	}
	a.nextQuery = now + pause
	return l.position, true
}

// Settle drops the kept entries that have gone for certain; it says whether there
// were any.
func (l *List) Settle() bool {
	spans, before := l.Uptime(), len(l.lapsed)
	maps.DeleteFunc(l.lapsed, func(_ id.Endpoint, p lapsedEntry) bool {
		return slices.ContainsFunc(spans, func(s uptime.Span) bool {
			return s.Covers(p.after, p.upTo) || l.overdue(s, p)
		})
	})
	return len(l.lapsed) < before
}

// overdue says whether an entry is still missing at the end of the time that it
// had for coming back after the store's return. The store must have answered for
// all that time, since it may be gone again, and this daemon must know the list as
// it was then.
func (l *List) overdue(s uptime.Span, p lapsedEntry) bool {
	asListed := l.outage.listed <= l.position && l.position <= s.Until
	return s.Length() >= uptime.ReturnGrace && asListed && p.upTo <= s.Until
}

// Due says whether the time for coming back is over for entries that are still
// kept: what is missing is proof that the store was there for all of it.
func (l *List) Due(now time.Duration) bool { return len(l.lapsed) > 0 && now >= l.outage.returnUntil }
