package forward

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// Deps are what the pipeline works with.
type Deps struct {
	// Self is this daemon's process.
	Self   func() id.Process
	Domain id.Domain
	// View is what the daemon knows now.
	View      func() *View
	Endpoints Endpoints
	Pairer    Pairer
	Balancer  *balance.Balancer
	// Suspicion is shared with the other daemons.
	Suspicion Suspicion
	// Repeats bounds the repeats of each service.
	Repeats retry.WindowConfig
	// Misdirected hears of an endpoint that is not what its entry says: it, or
	// another process at its address, refused a request as not meant for it. It
	// doesn't wait.
	Misdirected func(e registry.Endpoint)
	// Stale says whether the configuration may be out of date.
	Stale func() bool
	// Freshness and Payer matter only where the configuration has teams.
	Freshness Freshness
	Payer     Payer
	// TooLate says whether the daemon stops so soon that a stream may not end
	// before.
	TooLate func() bool
	// Daemons is how many daemons are alive and share that bound.
	Daemons func() int
	Log     Log
	Metrics *metrics.Registry
	Now     func() time.Duration
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Deps
	// mu guards the balancer and the windows.
	mu      sync.Mutex
	windows map[id.Service]*retry.Window
	stats   stats
}

// New returns a Forwarder.
func New(d Deps) *Forwarder {
	return &Forwarder{Deps: d, windows: map[id.Service]*retry.Window{}, stats: newStats(d.Metrics)}
}

// trace is what the line of a request tells.
type trace struct {
	route   *route.Route
	service id.Service
	config  uint64
	// team is nil for a request without a key.
	team     *route.Team
	hasTeams bool
	charged  float64
	// configAge is how old the configuration may have been when the key was last
	// looked at.
	configAge time.Duration
	// begun is set once an endpoint may run the request.
	mayHaveRun bool
	registry   uint64
	attempts   int
	// unlisted counts the sendings to endpoints that the store no longer lists.
	unlisted       int
	endpoint       id.Endpoint
	prefill        id.Endpoint
	waited         time.Duration
	prefillTime    time.Duration
	firstEventTime time.Duration
	// gap is the longest pause between a stream's events.
	maxGap time.Duration
	reason string
	// print is the request's fingerprint, once it was asked for.
	fingerprint poison.Fingerprint
}

// Run serves one request. Either a reply is passed on, or the error says what
// may have happened. ctx ends when the caller is gone.
func (f *Forwarder) Run(ctx context.Context, r *Request) (*Reply, *verdict.Error) {
	t := &trace{}
	reply, err := f.dispatch(ctx, r, t)
	f.refund(t, err)
	if reply != nil && reply.Events != nil {
		// The stream writes its line when it ends.
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
	t.service = t.route.Choose(r.ID)
	service := view.Routes.Service(t.service)
	if t.route.Kind == route.Stream && f.TooLate() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeLeaving, "this daemon is stopping")
	}
	if err := f.checkQuarantine(r, t); err != nil {
		return nil, err
	}
	f.countRequest(t.service)
	ctx, cancel := context.WithTimeout(ctx, f.deadline(r, t.route)-f.Now())
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

// limit is when the final answer is due, in the daemon's time.
func (f *Forwarder) deadline(r *Request, rt *route.Route) time.Duration {
	limit := r.Arrived + defaultTimeout
	if rt.Timeout > 0 {
		limit = r.Arrived + rt.Timeout
	}
	if r.CallerWaits > 0 {
		limit = min(limit, r.Arrived+r.CallerWaits)
	}
	return limit
}

// defaultTimeout applies to a route that names none.
const defaultTimeout = 30 * time.Second

// left is how long an endpoint may still work on a request.
func (f *Forwarder) timeLeft(r *Request, rt *route.Route) time.Duration {
	return f.deadline(r, rt) - f.Now()
}

// counted counts a caller's request for the bound on repeats.
func (f *Forwarder) countRequest(service id.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(service).Request(f.Now())
}

func (f *Forwarder) window(service id.Service) *retry.Window {
	w := f.windows[service]
	if w == nil {
		w = retry.NewWindow(f.Repeats)
		f.windows[service] = w
	}
	return w
}

// repeat pays for one more arrival of a request at an endpoint.
func (f *Forwarder) takeRetry(service id.Service) bool {
	daemons := f.Daemons()
	f.mu.Lock()
	defer f.mu.Unlock()
	paid := f.window(service).Repeat(f.Now(), daemons)
	if !paid {
		f.stats.deniedRetries.Inc()
	}
	return paid
}

// Configure takes the registered endpoints.
func (f *Forwarder) Configure(entries []registry.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Balancer.Configure(entries)
}

// connections is this daemon's part of the connections that an endpoint takes.
func (f *Forwarder) maxConns(s *route.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, s.MaxConnections/max(1, f.Daemons()))
}

// leastConnections is this daemon's part however many daemons there are.
const minConnections = 4
