package registry

import (
	"maps"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/uptime"
)

// lapse is an entry that is kept though the store no longer has it. It was
// removed by a change behind one version of the store and up to another.
type lapse struct {
	entry           Endpoint
	behind, missing uint64
}

// known is a span in which the store answered.
type known struct {
	uptime.Span
	// since is when it began by the daemon's own time.
	since time.Duration
	// listed is the version of the store up to which the list was known to the
	// daemon that told of the span.
	listed uint64
}

// absence is what is known of the store's being away. That a daemon's own calls
// fail is no proof of it: others may be served meanwhile.
type absence struct {
	// away is set while the store does not answer this daemon.
	away bool
	// until is when entries that have gone may no longer come back, where no span
	// says more; meaningless while away.
	until time.Duration
	// ownUntil is until where this daemon found out itself, and not by others' word.
	ownUntil time.Duration
	// asked is up to which version of the store others were asked.
	asked uint64
	// own is the span in which this daemon was served, told what others say.
	own, told known
}

// possible says whether an entry that has gone now may have lapsed because the
// store was away.
func (a *absence) possible(now time.Duration) bool { return a.away || now < a.until }

// StoreLost notes that the store does not answer this daemon.
func (l *List) StoreLost() { l.absence.away = true }

// StoreBack notes that the store answers this daemon again.
func (l *List) StoreBack(now time.Duration) {
	a := &l.absence
	if !a.away {
		return
	}
	a.away = false
	l.Suspect(now)
}

// Suspect notes that the store may have been away until now: this daemon has not
// called it meanwhile, and others that did got no answer.
func (l *List) Suspect(now time.Duration) {
	a := &l.absence
	a.ownUntil = now + uptime.ReturnGrace
	a.until = max(a.until, a.ownUntil)
}

// Answered notes an answer of the store to this daemon: the version of its
// newest change, and its clock. Unbroken says that the call followed another one
// that was answered.
func (l *List) Answered(now time.Duration, newest uint64, clock time.Duration, unbroken bool) {
	own := &l.absence.own
	span := own.Answered(newest, clock, unbroken)
	if span.Since != own.Since {
		own.since = now
	}
	own.Span = span
}

// Current notes that the list is known up to the last answer of the store to this
// daemon.
func (l *List) Current() { l.position = max(l.position, l.absence.own.Until) }

// Uptime is the newest span that is known, to be told to others.
func (l *List) Uptime() uptime.Span { return uptime.Join(l.absence.own.Span, l.absence.told.Span) }

// Learn takes another daemon's word of when the store answered, since when that
// was by this daemon's time, and up to which version the list is known there. It
// says whether entries were dropped for it.
func (l *List) Learn(now time.Duration, s uptime.Span, since time.Duration, listed uint64) bool {
	if !s.Known() {
		return false
	}
	heard := known{Span: s, since: min(since, now), listed: listed}
	dropped := l.settleBy(now, heard)
	told := &l.absence.told
	joined := uptime.Join(told.Span, s)
	if joined.Since == s.Since {
		told.since = heard.since
	}
	told.Span, told.listed = joined, max(told.listed, listed)
	return l.Settle(now) || dropped
}

// Listed is the version of the store up to which the list is known.
func (l *List) Listed() uint64 { return l.position }

// MayReturn notes by another daemon's word that the store was away: entries that
// have gone since may come back within uptime.ReturnGrace of its return, which is when
// the span began that Learn took last.
func (l *List) MayReturn() {
	a := &l.absence
	if a.told.Known() {
		a.until = max(a.until, a.told.since+uptime.ReturnGrace)
	}
}

// Doubts says whether entries that have gone may come back.
func (l *List) Doubts(now time.Duration) bool { return l.absence.possible(now) }

// Ask says whether others are to be asked when the store answered them, and up to
// which of its versions the answer is to reach. They are once for each entry that is kept
// newly, and again and again where this daemon's own calls failed, or the time for
// coming back is over.
func (l *List) Ask(now time.Duration) (upTo uint64, ask bool) {
	a := &l.absence
	missing := l.missing()
	ask = len(l.lapsed) > 0 && (missing > a.asked || a.away || now < a.ownUntil || now >= a.until)
	a.asked = max(a.asked, missing)
	return l.position, ask
}

// missing is the version of the store at which the newest of the kept entries was
// found missing; 0 for none.
func (l *List) missing() uint64 {
	newest := uint64(0)
	for _, p := range l.lapsed {
		newest = max(newest, p.missing)
	}
	return newest
}

// Settle drops the kept entries that have gone for certain; it says whether there
// were any.
func (l *List) Settle(now time.Duration) bool {
	byOwn := l.settleBy(now, l.absence.own)
	return l.settleBy(now, l.absence.told) || byOwn
}

// settleBy drops the kept entries that a span shows to have gone: the store was
// there when they were removed, or had been back for uptime.ReturnGrace and still did not
// list them.
func (l *List) settleBy(now time.Duration, k known) bool {
	before := len(l.lapsed)
	maps.DeleteFunc(l.lapsed, func(_ id.Endpoint, p lapse) bool {
		return k.Covers(p.behind, p.missing) || l.overdue(now, k, p)
	})
	return len(l.lapsed) < before
}

// overdue says whether an entry is still missing at the end of the time that it
// had for coming back after the store's return. The store must have answered for
// all that time, since it may be gone again, and this daemon must know the list as
// it was then.
func (l *List) overdue(now time.Duration, k known, p lapse) bool {
	over := now >= k.since+uptime.ReturnGrace && k.Length() >= uptime.ReturnGrace
	asListed := k.listed <= l.position && l.position <= k.Until
	return over && asListed && p.missing <= k.Until
}

// Due says whether the time for coming back is over for entries that are still
// kept: what is missing is proof that the store was there for all of it.
func (l *List) Due(now time.Duration) bool { return len(l.lapsed) > 0 && now >= l.absence.until }

// lapsedEntries are the kept entries by name.
func (l *List) lapsedEntries() map[id.Endpoint]Endpoint {
	out := make(map[id.Endpoint]Endpoint, len(l.lapsed))
	for name, p := range l.lapsed {
		out[name] = p.entry
	}
	return out
}
