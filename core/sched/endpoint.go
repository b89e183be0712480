package sched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// endpoint is the ledger's state of one endpoint.
type endpoint struct {
	name   id.Endpoint
	domain id.Domain
	// configured is the number of slots in the configuration.
	configured   int
	labelRole    live.Role
	labelLeaving bool
	inPool       bool

	report         Load
	reported       bool
	refusedLeaving bool
	refusedAt      time.Duration

	// prefillRate is in tokens a second, tokenTime in seconds a token.
	prefillRate average
	tokenTime   average

	// queue holds the granted prefills in order; busyUntil is the predicted end
	// of the last one.
	queue     []*reservation
	busyUntil time.Duration

	// held lists the reservations that hold a slot, pending those that wait for
	// the predicted release of one.
	held    []*reservation
	pending []*reservation
	// promoted lists the reservations that have received a slot and whose Binding
	// is not sent yet.
	promoted []*reservation
	// foreign counts the slots in use by work that is not in the ledger.
	foreign   int
	fullUntil time.Duration
	// released lists the times of recent releases, to correct for the lag of
	// reports.
	released []time.Duration
	// suspect is the suspect request that runs on the endpoint; no other work is
	// granted beside it.
	suspect *reservation

	cache *cacheView

	// key, indexedRole and indexedSlots are the values under which the fleet has
	// indexed the endpoint.
	key          indexKey
	indexedRole  live.Role
	indexedSlots int
	indexed      bool
}

// role returns the role that the engine reports, or else the role of its label.
func (e *endpoint) role() live.Role {
	if e.reported && e.report.Role != "" {
		return e.report.Role
	}
	return e.labelRole
}

// leaving is true if the label, a report or a refusal marks the endpoint as
// leaving.
func (e *endpoint) leaving() bool {
	return e.labelLeaving || e.refusedLeaving || (e.reported && e.report.Leaving)
}

// slots returns the configured number of slots, bounded by the number that the
// engine reports.
func (e *endpoint) slots() int {
	if e.reported && e.report.Slots > 0 {
		return min(e.configured, e.report.Slots)
	}
	return e.configured
}

// free counts the slots that are neither held nor awaited. It is 0 while the
// endpoint is considered full.
func (e *endpoint) free(now time.Duration) int {
	if now < e.fullUntil {
		return 0
	}
	return e.slots() - e.foreign - len(e.held) - len(e.pending)
}

// idle is true if no known or foreign work runs on the endpoint.
func (e *endpoint) idle() bool {
	return len(e.queue) == 0 && len(e.held) == 0 && len(e.pending) == 0 && e.foreign == 0
}

// slotFreeAt predicts when one more request gets a slot, with the deviation of
// the prediction. ok is false if no release is predicted.
func (e *endpoint) slotFreeAt(now time.Duration) (at, deviation time.Duration, ok bool) {
	if e.free(now) > 0 {
		return now, 0, true
	}
	next := e.releaseBefore()
	if next >= len(e.held) || now < e.fullUntil {
		return 0, 0, false
	}
	r := e.held[next]
	if r.release <= now {
		return now + r.deviation, r.deviation, true
	}
	return r.release, r.deviation, true
}

// releaseBefore returns the index, in the order of predicted releases, of the
// release that frees a slot for one more request.
func (e *endpoint) releaseBefore() int {
	excess := max(0, len(e.held)+e.foreign-e.slots())
	return len(e.pending) + excess
}

// overdue is true if the predicted end of the queued prefills has passed: their
// remaining time is unknown.
func (e *endpoint) overdue(now time.Duration) bool {
	return len(e.queue) > 0 && e.busyUntil <= now
}

// sortHeld sorts held by predicted release.
func (e *endpoint) sortHeld() {
	slices.SortStableFunc(e.held, func(a, b *reservation) int {
		if a.release != b.release {
			return int(min(1, max(-1, a.release-b.release)))
		}
		return int(min(1, max(-1, int64(a.number)-int64(b.number))))
	})
}

// promote assigns free slots to the pending reservations.
func (e *endpoint) promote() {
	for len(e.pending) > 0 && len(e.held)+e.foreign < e.slots() {
		e.held = append(e.held, e.pending[0])
		e.promoted = append(e.promoted, e.pending[0])
		e.pending = e.pending[1:]
	}
	e.sortHeld()
}

// drop removes a reservation from all lists of the endpoint.
func (e *endpoint) drop(r *reservation, now, lag time.Duration) {
	e.queue = without(e.queue, r)
	before := len(e.held)
	e.held = without(e.held, r)
	if len(e.held) < before {
		e.recordRelease(now, lag)
	}
	e.pending = without(e.pending, r)
	if e.suspect == r {
		e.suspect = nil
	}
	e.promote()
	e.predictQueue(now)
}

// recordRelease records a release for as long as reports may lag.
func (e *endpoint) recordRelease(now, lag time.Duration) {
	e.released = append(e.released, now)
	e.pruneReleases(now - lag)
}

// pruneReleases removes the releases before a time.
func (e *endpoint) pruneReleases(before time.Duration) {
	for len(e.released) > 0 && e.released[0] < before {
		e.released = e.released[1:]
	}
}

// predictQueue updates the predicted ends of the queued prefills.
func (e *endpoint) predictQueue(now time.Duration) {
	at := now
	for _, r := range e.queue {
		start := max(at, r.start)
		if r.phase >= PhasePrefilling && r.begun {
			start = r.start
		}
		at = max(now, start+r.prefillTime)
		r.prefillEnd = at
	}
	e.busyUntil = at
}

// without removes r from the list in place and keeps the order.
func without(list []*reservation, r *reservation) []*reservation {
	i := slices.Index(list, r)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
