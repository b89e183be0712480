// Package pool is the owner's side of a pool: the scheduler, and around it the
// detectors that only the owner can feed, since it alone sees the pool's
// requests from all daemons. It tells endpoints' grey failures and requests
// that crash endpoints. It is deterministic.
package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// maxPending is how many endpoints may have crashed under a request,
	// unconfirmed, before it is held back.
	maxUnconfirmedCrashes = 2
	// pendingLife is how long an unconfirmed crash is remembered.
	unconfirmedCrashTTL = 5 * time.Second
	// trackedLife is how long a request is tracked whose end is never reported,
	// as when the report was lost.
	trackedRequestTTL = 5 * time.Minute
	// sweepEvery is the time between looks for such requests.
	sweepInterval = 10 * time.Second
	// drainLife is how long a drain holds that is not repeated.
	drainTTL = 2 * time.Second
	// heldRetryAfter is advised to the caller of a request that is held back.
	heldRetryAfter = time.Second
)

// Events tell the daemon what the detectors found, for logs and metrics.
type Events struct {
	// Health is told of each change of an endpoint's state.
	Health func(c health.Change)
	// Crash is told of each confirmed crash and how many requests ran there.
	Crash func(c poison.CrashID, running int)
	// Probe asks for a fresh report of an endpoint that seems to have crashed.
	Probe func(e id.Endpoint)
}

// Options of a Manager.
type Options struct {
	Pool id.Pool
	// NewScheduler makes the policy; the view says which endpoints are allowed.
	NewScheduler func(view sched.HealthView) sched.Scheduler
	Health       health.Config
	// Poison is shared by the daemon's pools and merged with other daemons'.
	Poison *poison.Ledger
	// Epoch is the wall time at time zero: with it, jumps of the wall clock
	// don't matter.
	Epoch  time.Time
	Events Events
}

// Manager decides for one pool. It is not safe for concurrent use.
type Manager struct {
	opts               Options
	sched              sched.Scheduler
	health             *health.Detector
	requests           map[id.Request]*trackedRequest
	endpoints          map[id.Endpoint]*endpointState
	unconfirmedCrashes map[poison.Fingerprint][]unconfirmedCrash
	lastSweep          time.Duration
	// lost are endpoints found unreachable, not yet told to the scheduler.
	newlyUnreachable []id.Endpoint
	drains           map[id.Endpoint]time.Duration
	reports          map[id.Endpoint]sched.Load
	usage            usage
	answered         uint64
	refused          uint64
}

// tracked is a request that holds a grant.
type trackedRequest struct {
	want        sched.Want
	fingerprint poison.Fingerprint
	prefill     id.Endpoint
	decode      id.Endpoint
	// reservation of the grant in use; a former grant's late report is ignored.
	reservation uint64
	// adopted work began before this owner knew of it: its pace is not known.
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

// Configure takes a new configuration.
func (m *Manager) Configure(now time.Duration, doc *live.Document) []sched.Action {
	members := m.members(doc)
	m.health.Configure(now, members)
	m.pruneReports(members)
	m.usage.configure(members)
	m.liftQuarantines(now, doc)
	return m.recordActions(now, m.sched.Configure(now, doc))
}

// members lists the pool's endpoints; none where the pool or its selector is
// not known, as the scheduler has it.
func (m *Manager) members(doc *live.Document) []health.Member {
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

// forgetReports drops the reports of endpoints that left the pool.
func (m *Manager) pruneReports(members []health.Member) {
	kept := make(map[id.Endpoint]sched.Load, len(members))
	for _, x := range members {
		if l, ok := m.reports[x.Endpoint]; ok {
			kept[x.Endpoint] = l
		}
	}
	m.reports = kept
}

// Want takes a request. One that is known to crash endpoints is refused, one
// that may is run alone.
func (m *Manager) Want(now time.Duration, w sched.Want) []sched.Action {
	print, err := poison.ParseFingerprint(w.Fingerprint)
	if err == nil {
		refusal := m.checkFingerprint(now, &w, print)
		if refusal != nil {
			m.refused++
			return []sched.Action{{To: w.From, Refusal: refusal}}
		}
	}
	if _, ok := m.requests[w.Request]; !ok {
		m.requests[w.Request] = &trackedRequest{want: w, fingerprint: print, updatedAt: now}
	}
	return m.recordActions(now, m.sched.Want(now, w))
}

// Withdraw drops a request that waits or was granted and not yet begun.
func (m *Manager) Withdraw(now time.Duration, r id.Request) []sched.Action {
	m.endRequest(now, r, health.Withdrawn)
	return m.recordActions(now, m.sched.Withdraw(now, r))
}

// Progress follows a granted request.
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

// Adopt takes over a former owner's grant. What was known of the request, from
// an earlier time as its owner, is forgotten first: its work may be elsewhere.
func (m *Manager) Adopt(now time.Duration, a sched.Adopt) []sched.Action {
	m.endRequest(now, a.Want.Request, health.Withdrawn)
	print, _ := poison.ParseFingerprint(a.Want.Fingerprint)
	t := &trackedRequest{want: a.Want, fingerprint: print, prefill: a.Grant.Prefill, decode: a.Grant.Decode, reservation: a.Grant.Reservation, adopted: true, phase: a.Phase, updatedAt: now}
	m.requests[a.Want.Request] = t
	m.startWork(now, t)
	return m.recordActions(now, m.sched.Adopt(now, a))
}

// Load takes an endpoint's report.
func (m *Manager) Load(now time.Duration, l sched.Load) []sched.Action {
	m.checkIncarnation(now, l)
	m.reports[l.Endpoint] = l
	l.Leaving = l.Leaving || now < m.drains[l.Endpoint]
	return m.recordActions(now, m.sched.Load(now, l))
}

// Drain keeps new work off an endpoint for drainLife, or lets it in again. Who
// wants it kept off says so again and again.
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
		// No report is asked for in this pool: only the drain is told.
		return m.recordActions(now, m.sched.Load(now, sched.Load{Endpoint: e, Reachable: true, Leaving: on}))
	}
	return m.Load(now, report)
}

// Cache takes cache events; gap says that some were lost.
func (m *Manager) Cache(now time.Duration, e id.Endpoint, events []sched.CacheEvent, gap bool) {
	m.sched.Cache(now, e, events, gap)
}

// ProcessGone releases all that a dead daemon held.
func (m *Manager) ProcessGone(now time.Duration, p id.Process) []sched.Action {
	for _, r := range m.sortedRequests() {
		if m.requests[r].want.From == p {
			m.endRequest(now, r, health.Withdrawn)
		}
	}
	return m.recordActions(now, m.sched.ProcessGone(now, p))
}

// Tick does what is due; call it at Next or earlier.
func (m *Manager) Tick(now time.Duration) []sched.Action {
	m.reportHealth(m.health.Tick(now))
	m.expireUnconfirmed(now)
	if m.usage.due(now) {
		m.usage.sample(now, m.countPrefilling())
	}
	m.sweep(now)
	return m.recordActions(now, m.sched.Tick(now))
}

// Next is when Tick is due.
func (m *Manager) Next() time.Duration { return min(m.sched.Next(), m.health.Next()) }

// sweep forgets requests whose end was never reported.
func (m *Manager) sweep(now time.Duration) {
	if now-m.lastSweep < sweepInterval {
		return
	}
	m.lastSweep = now
	for _, r := range m.sortedRequests() {
		if now-m.requests[r].updatedAt > trackedRequestTTL {
			m.endRequest(now, r, health.Withdrawn)
		}
	}
}
