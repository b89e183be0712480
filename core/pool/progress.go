package pool

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
)

// endpointState is the state of one endpoint's process.
type endpointState struct {
	incarnation id.Incarnation
	// running holds the requests that run at the endpoint.
	running map[id.Request]poison.Suspect
	// brokenConnections holds the requests whose connection broke in a way that
	// may indicate a crash.
	brokenConnections map[id.Request]brokenConnection
}

type brokenConnection struct {
	suspect poison.Suspect
	at      time.Duration
}

// unconfirmedCrash is a suspected crash that no report has confirmed or refuted.
type unconfirmedCrash struct {
	endpoint id.Endpoint
	at       time.Duration
}

func (m *Manager) endpoint(e id.Endpoint) *endpointState {
	state, ok := m.endpoints[e]
	if !ok {
		state = &endpointState{running: make(map[id.Request]poison.Suspect), brokenConnections: make(map[id.Request]brokenConnection)}
		m.endpoints[e] = state
	}
	return state
}

// recordProgress updates a request's phase and the records of its endpoints.
func (m *Manager) recordProgress(now time.Duration, t *trackedRequest, p sched.Progress) {
	if p.PromptTokens > 0 {
		t.uncachedPromptTokens = p.PromptTokens - p.CachedTokens
	}
	switch p.Phase {
	case sched.PhaseFailed:
		m.recordFailure(now, t, p)
		return
	case sched.PhaseCancelled:
		m.endRequest(now, p.Request, health.Neutral)
		return
	case sched.PhaseDone:
		m.recordDone(now, t, p)
		return
	}
	m.endWork(now, t, t.phaseOutcome(p))
	if t.decodesElsewhere(p) {
		t.decode = p.Endpoint
	}
	t.phase = p.Phase
	t.updatedAt = now
	m.startWork(now, t)
}

// decodesElsewhere reports whether a request decodes at another endpoint than
// recorded: its daemon did not receive, or did not wait for, the binding of its
// grant.
func (t *trackedRequest) decodesElsewhere(p sched.Progress) bool {
	return p.Phase == sched.PhaseDecoding && p.Endpoint != "" && p.Endpoint != t.decode
}

// phaseOutcome returns the outcome of the phase that ends with p.
func (t *trackedRequest) phaseOutcome(p sched.Progress) health.Result {
	if t.decodesElsewhere(p) {
		return health.Result{Request: p.Request, Kind: health.Neutral}
	}
	return health.Result{Request: p.Request, Kind: health.OK, Latency: prefillPace(t, p)}
}

// prefillPace returns the prefill time for each prompt token that was not
// cached; 0 if unknown.
func prefillPace(t *trackedRequest, p sched.Progress) time.Duration {
	if p.Phase != sched.PhaseTransferring || t.uncachedPromptTokens <= 0 {
		return 0
	}
	return p.PrefillTime / time.Duration(t.uncachedPromptTokens)
}

// currentEndpoint returns the endpoint at which the request runs in its current
// phase; empty if none.
func (t *trackedRequest) currentEndpoint() id.Endpoint {
	switch t.phase {
	case sched.PhasePrefilling:
		return t.prefill
	case sched.PhaseTransferring, sched.PhaseDecoding:
		return t.decode
	default:
		return ""
	}
}

func (m *Manager) startWork(now time.Duration, t *trackedRequest) {
	e := t.currentEndpoint()
	if e == "" {
		return
	}
	expected := t.expectedFirstOutput()
	if m.opts.Calls {
		expected = t.expectedAnswer()
	}
	m.health.RecordStart(now, e, t.want.Request, expected)
	m.endpoint(e).running[t.want.Request] = poison.Suspect{Fingerprint: t.fingerprint, Team: t.want.Team}
}

const (
	// baseFirstOutput is the expected time until the first output of a phase,
	// without the prompt's part.
	baseFirstOutput = 300 * time.Millisecond
	// firstOutputPerToken is added for each prompt token of a prefill.
	firstOutputPerToken = 50 * time.Microsecond
)

// expectedFirstOutput returns the expected time until the first output of the
// current phase.
func (t *trackedRequest) expectedFirstOutput() time.Duration {
	if t.phase == sched.PhasePrefilling {
		return baseFirstOutput + time.Duration(t.want.PromptTokens)*firstOutputPerToken
	}
	return baseFirstOutput
}

// endWork records the outcome of the request's work at its current endpoint, if
// it has one.
func (m *Manager) endWork(now time.Duration, t *trackedRequest, r health.Result) {
	e := t.currentEndpoint()
	if e == "" {
		return
	}
	m.reportHealth(m.health.Outcome(now, e, r))
	delete(m.endpoint(e).running, t.want.Request)
}

func (m *Manager) recordDone(now time.Duration, t *trackedRequest, p sched.Progress) {
	pace := time.Duration(0)
	if p.OutputTokens > 0 && !t.adopted {
		pace = (now - t.updatedAt) / time.Duration(p.OutputTokens)
	}
	m.endWork(now, t, health.Result{Request: p.Request, Kind: health.OK, Latency: pace})
	m.opts.Poison.Finished(m.wall(now), t.fingerprint)
	delete(m.unconfirmedCrashes, t.fingerprint)
	delete(m.requests, p.Request)
	m.answered++
}

func (m *Manager) recordFailure(now time.Duration, t *trackedRequest, p sched.Progress) {
	kind := outcomeOf(p)
	at := t.currentEndpoint()
	m.endWork(now, t, health.Result{Request: p.Request, Kind: kind})
	if p.Crashed && at != "" && at == p.Endpoint {
		m.suspectCrash(now, t, at)
	}
	delete(m.requests, p.Request)
	if p.Unreachable {
		m.markUnreachable(now, p.Endpoint)
	}
}

// markUnreachable stops new work at an endpoint that accepted no connection, until
// a report shows that it is reachable again, and requests a report at once. The scheduler of
// calls holds the endpoint for a moment by itself: if the service has no health path, or this
// daemon doesn't reach the endpoint either, no report comes.
func (m *Manager) markUnreachable(now time.Duration, e id.Endpoint) {
	if !m.opts.Calls {
		m.newlyUnreachable = append(m.newlyUnreachable, e)
	}
	if m.opts.Events.Probe != nil {
		m.opts.Events.Probe(e)
	}
}

func outcomeOf(p sched.Progress) health.OutcomeKind {
	switch {
	case p.Endpoint == "" || p.Full || p.Leaving || p.Unreachable:
		return health.Neutral
	case p.Crashed:
		return health.Crashed
	case p.TimedOut:
		return health.TimedOut
	default:
		return health.Failed
	}
}

// suspectCrash records an unconfirmed crash after a request's connection broke,
// and requests a report of the endpoint.
func (m *Manager) suspectCrash(now time.Duration, t *trackedRequest, e id.Endpoint) {
	suspect := poison.Suspect{Fingerprint: t.fingerprint, Team: t.want.Team}
	m.endpoint(e).brokenConnections[t.want.Request] = brokenConnection{suspect: suspect, at: now}
	m.unconfirmedCrashes[t.fingerprint] = append(m.unconfirmedCrashes[t.fingerprint], unconfirmedCrash{endpoint: e, at: now})
	if m.opts.Events.Probe != nil {
		m.opts.Events.Probe(e)
	}
}

// countUnconfirmed counts the crashes under a fingerprint that no report has
// confirmed or refuted and that are not older than unconfirmedCrashTTL.
func (m *Manager) countUnconfirmed(now time.Duration, f poison.Fingerprint) int {
	count := 0
	for _, p := range m.unconfirmedCrashes[f] {
		if now-p.at < unconfirmedCrashTTL {
			count++
		}
	}
	return count
}

// checkIncarnation compares a report's incarnation with the recorded one. A
// higher incarnation means that the former process crashed, with all requests
// that ran in it.
func (m *Manager) checkIncarnation(now time.Duration, l sched.Load) {
	if !l.Reachable || l.Incarnation == 0 {
		return
	}
	state := m.endpoint(l.Endpoint)
	former := state.incarnation
	state.incarnation = max(former, l.Incarnation)
	if former == 0 || l.Incarnation <= former {
		m.refuteCrashes(now, l.Endpoint, state, l.Incarnation == former)
		return
	}
	m.recordCrash(now, poison.CrashID{Endpoint: l.Endpoint, Incarnation: former}, state)
}

// refuteCrashes drops the broken connections of a process that still runs, as its
// unchanged incarnation shows.
func (m *Manager) refuteCrashes(now time.Duration, e id.Endpoint, state *endpointState, same bool) {
	if !same || len(state.brokenConnections) == 0 {
		return
	}
	clear(state.brokenConnections)
	m.dropUnconfirmed(e)
}

func (m *Manager) recordCrash(now time.Duration, crash poison.CrashID, state *endpointState) {
	suspects := suspectsOf(state)
	clear(state.brokenConnections)
	m.dropUnconfirmed(crash.Endpoint)
	m.opts.Poison.Crash(m.wall(now), crash, suspects)
	if m.opts.Events.Crash != nil {
		m.opts.Events.Crash(crash, len(suspects))
	}
}

// suspectsOf lists, in a fixed order, the requests that ran in the ended process.
func suspectsOf(state *endpointState) []poison.Suspect {
	var out []poison.Suspect
	for _, s := range state.running {
		out = append(out, s)
	}
	for _, b := range state.brokenConnections {
		out = append(out, b.suspect)
	}
	slices.SortFunc(out, func(a, b poison.Suspect) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return out
}

// dropUnconfirmed drops the unconfirmed crashes at an endpoint.
func (m *Manager) dropUnconfirmed(e id.Endpoint) {
	for f, list := range m.unconfirmedCrashes {
		rest := slices.DeleteFunc(list, func(p unconfirmedCrash) bool { return p.endpoint == e })
		if len(rest) == 0 {
			delete(m.unconfirmedCrashes, f)
			continue
		}
		m.unconfirmedCrashes[f] = rest
	}
}

func (m *Manager) expireUnconfirmed(now time.Duration) {
	for f := range m.unconfirmedCrashes {
		if m.countUnconfirmed(now, f) == 0 {
			delete(m.unconfirmedCrashes, f)
		}
	}
}

// endRequest ends a request with the given outcome, without a latency.
func (m *Manager) endRequest(now time.Duration, r id.Request, kind health.OutcomeKind) {
	t, ok := m.requests[r]
	if !ok {
		return
	}
	m.endWork(now, t, health.Result{Request: r, Kind: kind})
	delete(m.requests, r)
}

func (m *Manager) reportHealth(changes []health.Change) {
	if m.opts.Events.Health == nil {
		return
	}
	for _, c := range changes {
		m.opts.Events.Health(c)
	}
}

func (m *Manager) sortedRequests() []id.Request {
	out := make([]id.Request, 0, len(m.requests))
	for r := range m.requests {
		out = append(out, r)
	}
	slices.Sort(out)
	return out
}
