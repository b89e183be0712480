package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// blockTokens is the unit in which engines allocate memory, in tokens.
const blockTokens = 16

// endpoint is the ledger's view of one engine.
type endpoint struct {
	name   id.Endpoint
	domain id.Domain
	role   live.Role
	// software is the version of the engine's software; empty if unknown.
	software id.Software
	slots    int
	memory   int
	leaving  bool
	// drained is set while placement keeps new work off this engine.
	drained bool
	// down is set when a connection fails and cleared by the next report of a
	// reachable engine.
	down      bool
	fullUntil time.Duration
	// setAside is set while the engine is set aside for a request that does not
	// fit yet.
	setAside bool

	// prefills are the granted prefills in order; busyUntil is the predicted
	// end of the last one.
	prefills  []*reservation
	busyUntil time.Duration
	// lastEnd is when the last prefill ended.
	lastEnd time.Duration
	// prefillRate is the measured prefill rate of this engine.
	prefillRate prefillRate

	// localPrefillUntil is the predicted end of the last local prefill on a
	// decode engine.
	localPrefillUntil time.Duration

	// given is the memory that the requests of decodes hold at their ends.
	given int
	// decodes are the requests whose memory is, or will be, on this engine.
	decodes []*reservation
	// footprints are the memory footprints of decodes at footprintsAt and at a
	// decode rate of footprintsRate, largest remaining first; footprintsStale is set when decodes has changed since.
	footprints      []footprint
	footprintsAt    time.Duration
	footprintsRate  float64
	footprintsStale bool
	// room bounds what fits.
	room room
}

func newEndpoint(e *live.Endpoint, memoryShare float64) *endpoint {
	made := &endpoint{name: e.Name, prefillRate: newPrefillRate()}
	made.configure(e, memoryShare)
	return made
}

// configure applies a new configuration; learned state is kept.
func (e *endpoint) configure(c *live.Endpoint, memoryShare float64) {
	e.domain = c.Domain
	if role := live.Role(c.Labels[live.LabelRole]); role != e.role {
		// The engine was drained for this change of role.
		e.role = role
		e.drained = false
		e.down = false
	}
	e.software = id.Software(c.Labels[live.LabelSoftware])
	e.slots = c.Slots
	e.memory = int(memoryShare * float64(c.KVTokens))
	e.room.known = false
	e.leaving = c.Labels[live.LabelLeaving] == "true"
}

// available reports whether the endpoint may get new work.
func (e *endpoint) available(now time.Duration) bool {
	return !e.leaving && !e.drained && !e.down && now >= e.fullUntil
}

// decodesHere reports whether the engine decodes answers.
func (e *endpoint) decodesHere() bool { return e.role == live.RoleDecode || e.role == live.RoleWhole }

// mayContinue reports whether the engine may write the events of a stream that a software
// version began; empty for a new stream. The version of a prefill engine is not limited.
func (e *endpoint) mayContinue(began id.Software) bool {
	return began == "" || !e.decodesHere() || e.software == began
}

// prefillTime predicts how long the prefill of a prompt takes.
func (e *endpoint) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate.perSecond() * float64(time.Second))
}

// startAt predicts when the next prefill would start.
func (e *endpoint) startAt(now time.Duration) time.Duration { return max(now, e.busyUntil) }

// addPrefill queues a granted prefill.
func (e *endpoint) addPrefill(now time.Duration, r *reservation) {
	e.prefills = append(e.prefills, r)
	r.prefillStart = e.startAt(now)
	e.busyUntil = r.prefillStart + e.prefillTime(r.want.PromptTokens)
}

// endPrefill removes a prefill from the queue; a completed one updates the
// prefill rate.
func (e *endpoint) endPrefill(now time.Duration, r *reservation, completed bool) {
	i := slices.Index(e.prefills, r)
	if i < 0 {
		return
	}
	e.prefills = slices.Delete(e.prefills, i, i+1)
	if completed {
		e.updatePrefillRate(now, r)
		e.lastEnd = now
	}
	e.predictPrefills(now)
}

// updatePrefillRate adds a sample to the prefill rate: the time since the
// previous prefill ended. The time of a prefill that found the engine idle
// includes a network round trip, so it counts only if it shows a higher rate,
// or a far lower one.
func (e *endpoint) updatePrefillRate(now time.Duration, r *reservation) {
	started := max(r.grantedAt, e.lastEnd)
	if started == r.grantedAt && !e.prefillRate.informative(r.want.PromptTokens, now-started) {
		return
	}
	e.prefillRate.add(r.want.PromptTokens, now-started)
}

// predictPrefills recomputes when the queued prefills end.
func (e *endpoint) predictPrefills(now time.Duration) {
	e.busyUntil = now
	for _, r := range e.prefills {
		e.busyUntil += e.prefillTime(r.want.PromptTokens)
	}
}

// addDecode adds a request to those on this engine.
func (e *endpoint) addDecode(r *reservation) {
	e.decodes = append(e.decodes, r)
	e.given += r.tokens
	e.requestsChanged()
}

// removeDecode removes a request from those on this engine.
func (e *endpoint) removeDecode(r *reservation) {
	if i := slices.Index(e.decodes, r); i >= 0 {
		e.decodes = slices.Delete(e.decodes, i, i+1)
		e.given -= r.tokens
		e.requestsChanged()
	}
}

// requestsChanged drops what was computed of the engine's requests.
func (e *endpoint) requestsChanged() {
	e.footprintsStale = true
	e.room.known = false
}

// roundUpToBlocks rounds a size in tokens up to whole blocks.
func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }
