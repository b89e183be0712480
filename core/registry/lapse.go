package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/uptime"
)

// lapsedEntry is an entry that is kept although the store no longer has it. The
// change that removed it has a store version v with after < v <= upTo.
type lapsedEntry struct {
	entry       Endpoint
	after, upTo uint64
}

// outage is the state known about outages of the store. Failure of a daemon's own
// calls does not prove an outage: other daemons may be served at the same time.
type outage struct {
	// away is set while the store does not respond to this daemon.
	away bool
	// returnUntil is until when missing entries may return, unless the spans prove
	// that an entry was removed; it has no meaning while away is set.
	returnUntil time.Duration
	// ownReturnUntil is the part of returnUntil that comes from this daemon's own
	// observations, not from reports of others.
	ownReturnUntil time.Duration
	// returnedAt is the time, by the store's clock, of the last return that other
	// daemons reported.
	returnedAt time.Duration
	// nextQuery is when the other daemons are next queried.
	nextQuery time.Duration
	// ownSpan is the latest span in which the store served this daemon; spans holds
	// its earlier spans and those of other daemons.
	ownSpan uptime.Span
	spans   uptime.History
	// listed is the newest version of the store up to which any other daemon has
	// read the list.
	listed uint64
}

// mayHaveLapsed reports whether an entry that is now missing may have lapsed because
// of an outage.
func (o *outage) mayHaveLapsed(now time.Duration) bool { return o.away || now < o.returnUntil }

// StoreLost records that the store does not respond to this daemon.
func (l *List) StoreLost() { l.outage.away = true }

// StoreBack records that the store responds to this daemon again.
func (l *List) StoreBack(now time.Duration) {
	o := &l.outage
	if !o.away {
		return
	}
	o.away = false
	l.SuspectOutage(now)
}

// SuspectOutage records that the store may have been unavailable until now: this
// daemon has not called it in the meantime, and calls of others failed.
func (l *List) SuspectOutage(now time.Duration) {
	o := &l.outage
	o.ownReturnUntil = now + uptime.ReturnGrace
	o.returnUntil = max(o.returnUntil, o.ownReturnUntil)
}

// RecordResponse records a response of the store to this daemon, with the version of
// its newest change and its clock. Set unbroken if the previous call was answered
// too.
func (l *List) RecordResponse(newest uint64, clock time.Duration, unbroken bool) {
	o := &l.outage
	next := o.ownSpan.Extend(newest, clock, unbroken)
	if next.Since != o.ownSpan.Since {
		o.spans = o.spans.Add(o.ownSpan)
	}
	o.ownSpan = next
}

// MarkCurrent records that the list is up to date with the last response of the
// store to this daemon.
func (l *List) MarkCurrent() { l.position = max(l.position, l.outage.ownSpan.Until) }

// Uptime returns the spans in which the store is known to have responded, to be sent
// to other daemons.
func (l *List) Uptime() uptime.History { return l.outage.spans.Add(l.outage.ownSpan) }

// MergeUptime merges another daemon's report of the spans in which the store
// responded, and of the version up to which that daemon has read the list. It
// reports whether entries were dropped as a result.
func (l *List) MergeUptime(reported uptime.History, listed uint64) bool {
	o := &l.outage
	o.listed = max(o.listed, listed)
	for _, s := range reported {
		o.spans = o.spans.Add(s)
	}
	return l.DropRemoved()
}

// ReportOutage records another daemon's report of an outage: entries that have gone
// missing since may return until the store has responded for uptime.ReturnGrace.
// Repeated reports of the same return do not extend that time.
func (l *List) ReportOutage(now time.Duration) {
	o, newest := &l.outage, l.Uptime().Latest()
	if newest.Since == o.returnedAt {
		return
	}
	o.returnedAt = newest.Since
	o.returnUntil = max(o.returnUntil, now+uptime.ReturnGrace-newest.Duration())
}

// EntriesMayReturn reports whether entries that go missing may return.
func (l *List) EntriesMayReturn(now time.Duration) bool { return l.outage.mayHaveLapsed(now) }

// ShouldQuery reports whether to query other daemons now for the spans in which the
// store responded to them, and the store version that their reply should reach. A
// daemon whose own calls failed, or whose kept entries are due, queries each time. A
// daemon that keeps entries because of others' reports, as the whole fleet may do at
// once, queries at most once per pause.
func (l *List) ShouldQuery(now, pause time.Duration) (upTo uint64, ask bool) {
	o := &l.outage
	if len(l.lapsed) == 0 {
		return l.position, false
	}
	if !o.away && now >= o.ownReturnUntil && now < o.returnUntil && now < o.nextQuery {
		return l.position, false
	}
	o.nextQuery = now + pause
	return l.position, true
}

// DropRemoved drops the kept entries that the spans prove to be removed, and reports
// whether there were any.
func (l *List) DropRemoved() bool {
	spans, former := l.Uptime(), l.entries()
	before := len(l.lapsed)
	maps.DeleteFunc(l.lapsed, func(_ id.Endpoint, p lapsedEntry) bool {
		return slices.ContainsFunc(spans, func(s uptime.Span) bool {
			return s.Covers(p.after, p.upTo) || l.overdue(s, p)
		})
	})
	if len(l.lapsed) == before {
		return false
	}
	l.recordEnded(former)
	return true
}

// overdue reports whether an entry is still missing at the end of the return grace.
// The store must have responded throughout the grace, since it may have become
// unavailable again after its return. This daemon's list must be as recent as that
// of any other daemon and lie within the span.
func (l *List) overdue(s uptime.Span, p lapsedEntry) bool {
	asListed := l.outage.listed <= l.position && l.position <= s.Until
	return s.Duration() >= uptime.ReturnGrace && asListed && p.upTo <= s.Until
}

// GraceOver reports whether the return grace is over for entries that are still
// kept. They are dropped once the store is proven to have responded for all of that
// time.
func (l *List) GraceOver(now time.Duration) bool {
	return len(l.lapsed) > 0 && now >= l.outage.returnUntil
}
