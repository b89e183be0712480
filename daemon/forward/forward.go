package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/fallback"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/ratelimit"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// Deps are the dependencies and settings of a Forwarder.
type Deps struct {
	// Self is this daemon's process.
	Self   func() id.Process
	Domain id.Domain
	// View returns the current configuration and endpoints.
	View      func() *View
	Endpoints Endpoints
	Pairer    Pairer
	Balancer  *balance.Balancer
	Origins   Origins
	// Evidence is the crash evidence shared with the other daemons.
	Evidence CrashEvidence
	// RetryLimit bounds the retries of each service.
	RetryLimit retry.WindowConfig
	// RateLimits is shared with the other daemons.
	RateLimits RateLimits
	// ReportMisdirected is called with an endpoint whose registry entry doesn't match
	// the process at its address: that process refused a request as meant for
	// another endpoint. It doesn't block.
	ReportMisdirected func(e registry.Endpoint)
	// Stale reports whether the configuration may be out of date.
	Stale func() bool
	// Freshness and Payer are used only if the configuration has teams.
	Freshness Freshness
	Payer     QuotaCharger
	// StopsTooSoon reports whether the daemon stops so soon that a request of a kind, whose
	// answer is due at until, may not end before.
	StopsTooSoon func(k route.Kind, until time.Duration) bool
	// Daemons returns how many daemons are alive; they share the connections that an
	// endpoint takes.
	Daemons func() int
	// RetrySharers returns among how many daemons the slack of RetryLimit is divided; 0
	// while this daemon may use none of it. It must not call the Forwarder.
	RetrySharers func() int
	// CallQueue reports whether the owners of pools grant endpoints to plain calls; nil if
	// they never do.
	CallQueue func() bool
	Log       Log
	Metrics   *metrics.Registry
	Now       func() time.Duration
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Deps
	// mu guards the balancer, windows, limiter and fallbacks.
	mu      sync.Mutex
	windows map[id.Service]*retry.Window
	limiter *ratelimit.Limiter
	// fallbacks counts the calls under way for which this daemon chose the endpoints since
	// no owner answered.
	fallbacks *fallback.Gate
	// wants counts the Wants of plain calls.
	wants atomic.Uint64
	stats stats
	// startedAt is when the Forwarder was created.
	startedAt time.Duration
}

// New returns a Forwarder.
func New(d Deps) *Forwarder {
	f := &Forwarder{
		Deps:    d,
		windows: map[id.Service]*retry.Window{},
		limiter: ratelimit.New(d.Self().Daemon),
		stats:   newStats(d.Metrics),

		fallbacks: fallback.NewGate(),

		startedAt: d.Now(),
	}
	d.Metrics.GaugeFunc("forward_endpoints_limited", metrics.UnitCount, "Endpoints that name a rate limit.", f.limited)
	d.Metrics.GaugeFunc("forward_endpoints_backoff", metrics.UnitCount, "Endpoints that want no requests of this daemon now.", f.backoffs)
	return f
}

// trace is the state of one request that its log line reports.
type trace struct {
	route   *route.Route
	service id.Service
	config  uint64
	// team is nil for a request without a key.
	team     *route.Team
	hasTeams bool
	charged  float64
	// configAge is how old the configuration may have been when the key was last
	// checked.
	configAge time.Duration
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	registry   uint64
	attempts   int
	arrivals   arrivals
	// unlisted counts the attempts at endpoints that the store no longer lists.
	unlisted int
	endpoint id.Endpoint
	// software is the version of the endpoint's software at the last attempt, began the one
	// that began the stream which the caller takes up; empty if it takes none up.
	software   id.Software
	began      id.Software
	prefill    id.Endpoint
	engineWait time.Duration
	// queueWait is how long a call waited for the owners of its pool, and fallbacks how
	// often its daemon chose an endpoint itself since none answered.
	queueWait      time.Duration
	fallbacks      int
	prefillTime    time.Duration
	firstEventTime time.Duration
	// maxGap is the longest pause between a stream's events.
	maxGap time.Duration
	// unframed is set if the body of the last endpoint ends with its connection,
	// tailBytes the number of bytes of the event that was incomplete at its end.
	unframed  bool
	tailBytes int
	reason    string
	// fingerprint is the request's fingerprint; zero until fingerprintOf computes
	// it.
	fingerprint poison.Fingerprint
	partTrace
}

// Run serves one request. It returns either an endpoint's reply or an error
// whose verdict states whether the request may have run. ctx ends when the
// caller disconnects.
func (f *Forwarder) Run(ctx context.Context, r *Request) (*Reply, *verdict.Error) {
	t := &trace{}
	reply, err := f.dispatch(ctx, r, t)
	err = f.adviseBackoff(t, err)
	f.refund(t, err)
	if reply != nil && reply.Events != nil {
		// The stream writes its log line when it ends.
		return reply, nil
	}
	f.record(r, t, reply, err)
	return reply, err
}

func (f *Forwarder) dispatch(ctx context.Context, r *Request, t *trace) (*Reply, *verdict.Error) {
	view := f.View()
	if view.Routes == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon has no configuration yet")
	}
	t.config = view.Routes.Config().Version
	t.registry = view.Registry
	t.route = view.Routes.Match(r.Host, r.Path)
	if t.route == nil && f.Stale() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no route is known, and the configuration may be out of date")
	}
	if t.route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no route for this host and path")
	}
	if err := f.authenticate(r, t, view.Routes); err != nil {
		return nil, err
	}
	f.identifyParts(r, t)
	t.service = chooseService(t.route, r)
	service := view.Routes.Service(t.service)
	if err := f.checkStop(r, t); err != nil {
		return nil, err
	}
	f.awaitEvidence(ctx, r, t)
	if err := f.checkQuarantine(r, t); err != nil {
		return nil, err
	}
	f.countRequest(t.service)
	ctx, cancel := context.WithTimeout(ctx, f.deadline(r, t.route)-f.Now())
	if err := f.findOrigin(ctx, r, t); err != nil {
		cancel()
		return nil, err
	}
	if err := f.chargeTeam(ctx, r, t); err != nil {
		cancel()
		return nil, err
	}
	switch {
	case t.route.Kind == route.Stream && service.Engine != nil:
		return f.stream(ctx, cancel, r, t, service)
	case t.route.Kind == route.Stream:
		return f.plainStream(ctx, cancel, r, t, service)
	}
	defer cancel()
	return f.call(ctx, r, t, service)
}

// deadline is when the final answer is due, in the daemon's time.
func (f *Forwarder) deadline(r *Request, rt *route.Route) time.Duration {
	limit := r.Arrived + defaultTimeout
	if rt.Timeout > 0 {
		limit = r.Arrived + rt.Timeout
	}
	if r.CallerTimeout > 0 {
		limit = min(limit, r.Arrived+r.CallerTimeout)
	}
	return limit
}

// defaultTimeout applies to a route without a timeout.
const defaultTimeout = 30 * time.Second

// timeLeft is how long an endpoint may still work on a request.
func (f *Forwarder) timeLeft(r *Request, rt *route.Route) time.Duration {
	return f.deadline(r, rt) - f.Now()
}

// countRequest counts a caller's request for the service's retry limit.
func (f *Forwarder) countRequest(service id.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(service).CountRequest(f.Now())
}

func (f *Forwarder) window(service id.Service) *retry.Window {
	w := f.windows[service]
	if w == nil {
		w = retry.NewWindow(f.RetryLimit)
		f.windows[service] = w
	}
	return w
}

// Configure sets the registered endpoints.
func (f *Forwarder) Configure(entries []registry.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Balancer.Configure(entries)
	listed := make(map[id.Endpoint]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
	}
	f.limiter.Retain(func(e id.Endpoint) bool { return listed[e] })
}

// maxConns is this daemon's share of the connections that an endpoint takes; 0
// for no bound.
func (f *Forwarder) maxConns(s *route.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, s.MaxConnections/max(1, f.Daemons()))
}

// minConnections is the smallest share of a daemon, however many daemons there
// are.
const minConnections = 4
