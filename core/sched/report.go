package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Load implements Scheduler. Reports of a former incarnation are ignored.
func (l *Ledger) Load(now time.Duration, report Load) []Action {
	l.begin(now)
	e := l.endpoints[report.Endpoint]
	if e == nil || (e.reported && report.Reachable && report.Incarnation < e.report.Incarnation) {
		return l.finish(nil)
	}
	l.updateEndpoint(e, func(e *endpoint) { l.takeReport(e, report) })
	return l.finish(nil)
}

// takeReport updates the state of an endpoint. The report of an unreachable
// endpoint has no other information.
func (l *Ledger) takeReport(e *endpoint, report Load) {
	if !report.Reachable {
		e.reported = true
		e.report.Reachable = false
		return
	}
	if e.reported && report.Incarnation != e.report.Incarnation {
		e.cache.clear()
		e.refusedLeaving = false
	}
	if !report.Leaving && l.now-e.refusedAt >= l.options.LeavingHold {
		e.refusedLeaving = false
	}
	e.reported = true
	e.report = report
	e.countForeign(l.now - l.options.ReportLag)
	e.promote()
}

// countForeign counts the reported work that is not in the ledger. Work released
// since the given time is not counted, since the report may be older than the
// release.
func (e *endpoint) countForeign(since time.Duration) {
	if e.role() == live.RolePrefill {
		return
	}
	e.pruneReleases(since)
	known := len(e.held) + len(e.pending) + len(e.released)
	e.foreign = max(0, e.report.Running+e.report.Waiting-known)
}

// Cache implements Scheduler.
func (l *Ledger) Cache(now time.Duration, name id.Endpoint, events []CacheEvent, gap bool) {
	l.begin(now)
	e := l.endpoints[name]
	if e == nil {
		return
	}
	if gap {
		e.cache.clear()
	}
	for _, event := range events {
		if !event.Stored {
			e.cache.drop(event.Block)
			continue
		}
		e.cache.store(now, event.Block)
		l.caches.stored(event.Block, e)
	}
}
