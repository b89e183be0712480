// Package pool implements the owner's side of a pool: the scheduler and the
// detectors of grey failures of endpoints and of requests that crash endpoints.
// The detectors run at the owner because only the owner sees the pool's requests
// from all daemons. The package is deterministic.
package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// maxUnconfirmedCrashes is the number of unconfirmed and confirmed crashes at
	// which a request with an unconfirmed crash is held back.
	maxUnconfirmedCrashes = 2
	// unconfirmedCrashTTL is how long an unconfirmed crash counts.
	unconfirmedCrashTTL = 5 * time.Second
	// trackedRequestTTL is how long a request is tracked without any report, for
	// example because the report of its end was lost.
	trackedRequestTTL = 5 * time.Minute
	// sweepInterval is the time between two searches for such requests.
	sweepInterval = 10 * time.Second
	// drainTTL is how long a drain lasts unless it is repeated.
	drainTTL = 2 * time.Second
	// heldRetryAfter is the RetryAfter of a request that is held back.
	heldRetryAfter = time.Second
)

// Events are callbacks by which the detectors report to the daemon, for logs and
// metrics.
type Events struct {
	// Health is called for each change of an endpoint's state.
	Health func(c health.Change)
	// Crash is called for each confirmed crash, with the number of requests that
	// ran in the crashed process.
	Crash func(c poison.CrashID, running int)
	// Probe requests a new report of an endpoint that may have crashed or is
	// unreachable.
	Probe func(e id.Endpoint)
}

// Options configure a Manager.
type Options struct {
	Pool id.Pool
	// Calls is set for the pool of a plain service whose daemons report only the end of a
	// call: a granted call counts as sent.
	Calls bool
	// NewScheduler creates the scheduler; the view reports which endpoints are
	// allowed.
	NewScheduler func(view sched.HealthView) sched.Scheduler
	// Limiter is the one of the scheduler, if that bounds the calls in flight by what it
	// learns.
	Limiter concurrency.Limiter
	Health  health.Config
	// Poison is shared by the daemon's pools and merged with the ledgers of other
	// daemons.
	Poison *poison.Ledger
	// Epoch is the wall time at time zero. Wall times are computed from it, so
	// that jumps of the wall clock have no effect.
	Epoch  time.Time
	Events Events
}

// Manager schedules one pool. It is not safe for concurrent use.
type Manager struct {
	opts               Options
	sched              sched.Scheduler
	health             *health.Detector
	requests           map[id.Request]*trackedRequest
	endpoints          map[id.Endpoint]*endpointState
	unconfirmedCrashes map[poison.Fingerprint][]unconfirmedCrash
	lastSweep          time.Duration
	// nextLapse is at or before the time at which the next call lapses.
	nextLapse time.Duration
	// newlyUnreachable holds unreachable endpoints that were not yet reported to
	// the scheduler.
	newlyUnreachable []id.Endpoint
	drains           map[id.Endpoint]time.Duration
	reports          map[id.Endpoint]sched.Load
	usage            usage
	answered         uint64
	refused          uint64
}

// trackedRequest is a request that waits or holds a grant.
type trackedRequest struct {
	want        sched.Want
	fingerprint poison.Fingerprint
	prefill     id.Endpoint
	decode      id.Endpoint
	// reservation of the grant in use; late reports for an earlier grant are
	// ignored.
	reservation uint64
	// adopted requests started under another owner: their latency per token is
	// unknown.
	adopted              bool
	phase                sched.Phase
	updatedAt            time.Duration
	uncachedPromptTokens int
}

// New returns a Manager without configuration.
func New(o Options) *Manager {
	m := &Manager{
		opts:               o,
		health:             health.New(o.Health),
		requests:           make(map[id.Request]*trackedRequest),
		endpoints:          make(map[id.Endpoint]*endpointState),
		unconfirmedCrashes: make(map[poison.Fingerprint][]unconfirmedCrash),
		drains:             make(map[id.Endpoint]time.Duration),
		reports:            make(map[id.Endpoint]sched.Load),
	}
	m.sched = o.NewScheduler(m.health)
	return m
}

func (m *Manager) wall(now time.Duration) time.Time { return m.opts.Epoch.Add(now) }

// Configure applies a new configuration.
func (m *Manager) Configure(now time.Duration, doc *live.Document) []sched.Action {
	members := m.poolMembers(doc)
	m.health.Configure(now, members)
	m.pruneReports(members)
	m.usage.setMembers(members)
	m.liftQuarantines(now, doc)
	return m.recordActions(now, m.sched.Configure(now, doc))
}

// poolMembers lists the pool's endpoints. Like the scheduler, it has none if the pool
// is unknown or its selector is invalid.
func (m *Manager) poolMembers(doc *live.Document) []health.Member {
	pool := sched.FindPool(doc, m.opts.Pool)
	if pool == nil {
		return nil
	}
	endpoints, err := sched.PoolEndpoints(doc, pool)
	if err != nil {
		return nil
	}
	out := make([]health.Member, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, health.Member{Endpoint: e.Name, Pool: m.opts.Pool, Role: sched.LabelledRole(e)})
	}
	return out
}

// pruneReports drops the reports of endpoints that left the pool.
func (m *Manager) pruneReports(members []health.Member) {
	kept := make(map[id.Endpoint]sched.Load, len(members))
	for _, x := range members {
		if l, ok := m.reports[x.Endpoint]; ok {
			kept[x.Endpoint] = l
		}
	}
	m.reports = kept
}

// Want handles a request for endpoints. A request that is known to crash
// endpoints is refused; a suspected one is marked to run alone.
func (m *Manager) Want(now time.Duration, w sched.Want) []sched.Action {
	fingerprint, err := poison.ParseFingerprint(w.Fingerprint)
	if err == nil {
		refusal := m.checkFingerprint(now, &w, fingerprint)
		if refusal != nil {
			m.refused++
			return []sched.Action{{To: w.From, Refusal: refusal}}
		}
	}
	if _, ok := m.requests[w.Request]; !ok {
		m.requests[w.Request] = &trackedRequest{want: w, fingerprint: fingerprint, updatedAt: now}
		m.nextLapse = min(m.nextLapse, m.requests[w.Request].lapsesAt())
	}
	return m.recordActions(now, m.sched.Want(now, w))
}

// Withdraw drops a request that waits or has a grant but has not started.
func (m *Manager) Withdraw(now time.Duration, r id.Request) []sched.Action {
	m.endRequest(now, r, health.Neutral)
	return m.recordActions(now, m.sched.Withdraw(now, r))
}

// Progress handles a progress report of a granted request.
func (m *Manager) Progress(now time.Duration, p sched.Progress) []sched.Action {
	if t, ok := m.requests[p.Request]; ok && p.Reservation == t.reservation {
		m.recordProgress(now, t, p)
	}
	out := m.recordActions(now, m.sched.Progress(now, p))
	for _, e := range m.newlyUnreachable {
		out = append(out, m.recordActions(now, m.sched.Load(now, sched.Load{Endpoint: e}))...)
	}
	m.newlyUnreachable = nil
	return out
}

// Adopt takes over a grant of a former owner. State of the request that remains
// from an earlier ownership is dropped first: the work may have moved to another
// endpoint since.
func (m *Manager) Adopt(now time.Duration, a sched.Adopt) []sched.Action {
	m.endRequest(now, a.Want.Request, health.Neutral)
	fingerprint, _ := poison.ParseFingerprint(a.Want.Fingerprint)
	t := &trackedRequest{want: a.Want, fingerprint: fingerprint, prefill: a.Grant.Prefill, decode: a.Grant.Decode, reservation: a.Grant.Reservation, adopted: true, phase: a.Phase, updatedAt: now}
	if m.opts.Calls {
		t.phase = sched.PhaseDecoding
	}
	m.requests[a.Want.Request] = t
	m.nextLapse = min(m.nextLapse, t.lapsesAt())
	m.startWork(now, t)
	return m.recordActions(now, m.sched.Adopt(now, a))
}

// Load handles an endpoint's load report.
func (m *Manager) Load(now time.Duration, l sched.Load) []sched.Action {
	m.checkIncarnation(now, l)
	m.reports[l.Endpoint] = l
	l.Leaving = l.Leaving || now < m.drains[l.Endpoint]
	return m.recordActions(now, m.sched.Load(now, l))
}

// Drain stops new work at an endpoint for drainTTL, or allows it again. The
// caller repeats the call for as long as the endpoint is to be drained.
func (m *Manager) Drain(now time.Duration, e id.Endpoint, on bool) []sched.Action {
	was := now < m.drains[e]
	delete(m.drains, e)
	if on {
		m.drains[e] = now + drainTTL
	}
	report, known := m.reports[e]
	if was == on {
		return nil
	}
	if !known {
		// The pool has no report of the endpoint, so only the drain is passed on.
		return m.recordActions(now, m.sched.Load(now, sched.Load{Endpoint: e, Reachable: true, Leaving: on}))
	}
	return m.Load(now, report)
}

// Cache handles cache events of an endpoint; gap is true if some were lost.
func (m *Manager) Cache(now time.Duration, e id.Endpoint, events []sched.CacheEvent, gap bool) {
	m.sched.Cache(now, e, events, gap)
}

// ProcessGone releases the requests and grants of a dead daemon process.
func (m *Manager) ProcessGone(now time.Duration, p id.Process) []sched.Action {
	for _, r := range m.sortedRequests() {
		if m.requests[r].want.From == p {
			m.endRequest(now, r, health.Neutral)
		}
	}
	return m.recordActions(now, m.sched.ProcessGone(now, p))
}

// Tick runs due timers; call it at Next or earlier.
func (m *Manager) Tick(now time.Duration) []sched.Action {
	m.endLapsedCalls(now)
	m.reportHealth(m.health.Tick(now))
	m.expireUnconfirmed(now)
	if m.usage.due(now) {
		m.usage.sample(now, m.countPrefilling())
	}
	m.sweep(now)
	return m.recordActions(now, m.sched.Tick(now))
}

// Next returns the time at which Tick is due.
func (m *Manager) Next() time.Duration { return min(m.sched.Next(), m.health.Next()) }

// sweep drops requests whose end was never reported.
func (m *Manager) sweep(now time.Duration) {
	if now-m.lastSweep < sweepInterval {
		return
	}
	m.lastSweep = now
	for _, r := range m.sortedRequests() {
		if now-m.requests[r].updatedAt > trackedRequestTTL {
			m.endRequest(now, r, health.Neutral)
		}
	}
}
