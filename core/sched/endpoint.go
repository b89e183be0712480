package sched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// endpoint is the ledger's view of one endpoint.
type endpoint struct {
	name   id.Endpoint
	domain id.Domain
	// configured are the slots of the configuration.
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

	// queue holds the granted prefills in their order; busyUntil is the
	// predicted end of the last.
	queue     []*reservation
	busyUntil time.Duration

	// held are the reservations that hold a slot; pending those that will get
	// one that is predicted to be released.
	held    []*reservation
	pending []*reservation
	// promoted have moved from pending to held and aren't told yet.
	promoted []*reservation
	// foreign counts slots in use by work that the ledger doesn't know.
	foreign   int
	fullUntil time.Duration
	// released are the times of late releases, for reports that lag.
	released []time.Duration
	// alone is the suspect that runs here alone.
	suspect *reservation

	cache *cacheView

	// key, indexedRole and indexedSlots are what the fleet has indexed.
	key          indexKey
	indexedRole  live.Role
	indexedSlots int
	indexed      bool
}

// role is what the engine says it does, else what its label says.
func (e *endpoint) role() live.Role {
	if e.reported && e.report.Role != "" {
		return e.report.Role
	}
	return e.labelRole
}

// leaving is true when any source says so.
func (e *endpoint) leaving() bool {
	return e.labelLeaving || e.refusedLeaving || (e.reported && e.report.Leaving)
}

// slots is the configured count bounded by the engine's own.
func (e *endpoint) slots() int {
	if e.reported && e.report.Slots > 0 {
		return min(e.configured, e.report.Slots)
	}
	return e.configured
}

// free counts the slots that nothing holds or waits for.
func (e *endpoint) free(now time.Duration) int {
	if now < e.fullUntil {
		return 0
	}
	return e.slots() - e.foreign - len(e.held) - len(e.pending)
}

// idle is true when the ledger knows of no work here.
func (e *endpoint) idle() bool {
	return len(e.queue) == 0 && len(e.held) == 0 && len(e.pending) == 0 && e.foreign == 0
}

// slotFreeAt predicts when one more request gets a slot, and how far the
// prediction may be off. ok is false when no slot will be released.
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

// releaseBefore is the place, in the order of predicted releases, of the one
// that gives room for one more request.
func (e *endpoint) releaseBefore() int {
	excess := max(0, len(e.held)+e.foreign-e.slots())
	return len(e.pending) + excess
}

// overdue is true when the queued prefills ought to have ended: how long they
// will take is unknown.
func (e *endpoint) overdue(now time.Duration) bool {
	return len(e.queue) > 0 && e.busyUntil <= now
}

// sortHeld keeps held in the order of predicted release.
func (e *endpoint) sortHeld() {
	slices.SortStableFunc(e.held, func(a, b *reservation) int {
		if a.release != b.release {
			return int(min(1, max(-1, a.release-b.release)))
		}
		return int(min(1, max(-1, int64(a.number)-int64(b.number))))
	})
}

// promote gives released slots to the reservations that wait for them.
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

// noteRelease remembers a release for as long as reports may lag.
func (e *endpoint) recordRelease(now, lag time.Duration) {
	e.released = append(e.released, now)
	e.pruneReleases(now - lag)
}

// forgetReleases forgets the releases before a time.
func (e *endpoint) pruneReleases(before time.Duration) {
	for len(e.released) > 0 && e.released[0] < before {
		e.released = e.released[1:]
	}
}

// predictQueue predicts anew when the queued prefills end.
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

// without returns the list without r, in order.
func without(list []*reservation, r *reservation) []*reservation {
	i := slices.Index(list, r)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}
