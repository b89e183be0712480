package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// blockTokens is the unit in which engines hand out memory, in tokens.
const blockTokens = 16

// endpoint is the ledger's view of one engine.
type endpoint struct {
	name    id.Endpoint
	domain  id.Domain
	role    live.Role
	slots   int
	memory  int
	leaving bool
	// drained is set while placement wants no new work here.
	drained bool
	// down is set from a failed connection until a report.
	down      bool
	fullUntil time.Duration
	// kept is set while a request that doesn't fit yet has the engine kept for it.
	setAside bool

	// prefills are the granted prefills in their order; busyUntil is the
	// predicted end of the last one.
	prefills  []*reservation
	busyUntil time.Duration
	// lastEnd is when the last prefill ended.
	lastEnd time.Duration
	// rate of prefills.
	prefillRate prefillRate

	// readingUntil is when a decode engine has probably read the prompt that it
	// was last given to read itself.
	localPrefillUntil time.Duration

	// decodes are the requests that have, or will have, their memory here.
	decodes []*reservation
	// claims are theirs as of claimsAt, the one with the most left first;
	// claimsOld is set once the requests have changed.
	footprints      []footprint
	footprintsAt    time.Duration
	footprintsStale bool
	// room is the share of its memory that is left at the peak, as of the last
	// look at the queue that asked for it.
	freeShare float64
}

func newEndpoint(e *live.Endpoint, memoryShare float64) *endpoint {
	made := &endpoint{name: e.Name, prefillRate: newPrefillRate()}
	made.configure(e, memoryShare)
	return made
}

// configure takes what a new configuration says; what was learned stays.
func (e *endpoint) configure(c *live.Endpoint, memoryShare float64) {
	e.domain = c.Domain
	if role := live.Role(c.Labels[live.LabelRole]); role != e.role {
		// It has changed its role, for which it was drained.
		e.role = role
		e.drained = false
		e.down = false
	}
	e.slots = c.Slots
	e.memory = int(memoryShare * float64(c.KVTokens))
	e.leaving = c.Labels[live.LabelLeaving] == "true"
}

// open says whether the endpoint may get new work.
func (e *endpoint) available(now time.Duration) bool {
	return !e.leaving && !e.drained && !e.down && now >= e.fullUntil
}

// writes says whether answers are written here.
func (e *endpoint) decodesHere() bool { return e.role == live.RoleDecode || e.role == live.RoleWhole }

// prefillTime predicts how long a prompt takes to read.
func (e *endpoint) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate.perSecond() * float64(time.Second))
}

// startAt predicts when the next prefill would begin.
func (e *endpoint) startAt(now time.Duration) time.Duration { return max(now, e.busyUntil) }

// addPrefill queues a granted prefill.
func (e *endpoint) addPrefill(now time.Duration, r *reservation) {
	e.prefills = append(e.prefills, r)
	r.prefillStart = e.startAt(now)
	e.busyUntil = r.prefillStart + e.prefillTime(r.want.PromptTokens)
}

// endPrefill takes a prefill off the queue; one that was read teaches the rate.
func (e *endpoint) endPrefill(now time.Duration, r *reservation, read bool) {
	i := slices.Index(e.prefills, r)
	if i < 0 {
		return
	}
	e.prefills = slices.Delete(e.prefills, i, i+1)
	if read {
		e.updatePrefillRate(now, r)
		e.lastEnd = now
	}
	e.predictPrefills(now)
}

// learn takes the time since the end of the prefill before it as the time that
// a prefill took. One that found the engine idle has the way there and back in
// its time: it counts only if it shows a better rate, or a far worse one.
func (e *endpoint) updatePrefillRate(now time.Duration, r *reservation) {
	begun := max(r.grantedAt, e.lastEnd)
	if begun == r.grantedAt && !e.prefillRate.informative(r.want.PromptTokens, now-begun) {
		return
	}
	e.prefillRate.add(r.want.PromptTokens, now-begun)
}

// predict says anew when the queued prefills end.
func (e *endpoint) predictPrefills(now time.Duration) {
	e.busyUntil = now
	for _, r := range e.prefills {
		e.busyUntil += e.prefillTime(r.want.PromptTokens)
	}
}

// take gives a request its place here.
func (e *endpoint) addDecode(r *reservation) {
	e.decodes = append(e.decodes, r)
	e.footprintsStale = true
}

// give takes its place back.
func (e *endpoint) removeDecode(r *reservation) {
	if i := slices.Index(e.decodes, r); i >= 0 {
		e.decodes = slices.Delete(e.decodes, i, i+1)
		e.footprintsStale = true
	}
}

// blocks rounds a size up to whole blocks, in tokens.
func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }
