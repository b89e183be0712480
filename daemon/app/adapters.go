package app

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/naive"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/reap"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/cancels"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/logline"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// newRequestID returns a new request id. Ids sort by time.
func newRequestID() id.Request { return id.Request(ulid.Make().String()) }

// wrapTLS wraps the listener in TLS if the daemon has caller keys.
func (d *Daemon) wrapTLS(ln net.Listener) net.Listener {
	if d.callerKeys == nil {
		return ln
	}
	return tls.NewListener(ln, d.callerKeys.CallerTLS())
}

func (d *Daemon) debugHandler() fasthttp.RequestHandler {
	vars := d.metrics.Handler()
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/debug/vars":
			vars(ctx)
		case "/healthz":
			ctx.SetBodyString("ok\n")
		case "/readyz":
			ok, why := d.ready()
			if !ok {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
			ctx.SetBodyString(why + "\n")
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// newManager creates the manager of a pool that this daemon owns.
func (d *Daemon) newManager(p id.Pool) *pool.Manager {
	return pool.New(pool.Options{
		Pool: p,
		NewScheduler: func(view sched.HealthView) sched.Scheduler {
			return d.newScheduler(p, view)
		},
		Poison: d.poison,
		Epoch:  d.epoch,
		Events: pool.Events{
			Health: func(c health.Change) {
				d.decisions.Decide(logline.SubjectEndpoint, string(c.Endpoint), "health_changed",
					"state", c.State, "why", c.Reason, "for", c.For)
			},
			Crash: func(c poison.CrashID, running int) {
				d.decisions.Decide(logline.SubjectEndpoint, string(c.Endpoint), "crash_seen",
					"incarnation", c.Incarnation, "running", running)
			},
			Probe: func(e id.Endpoint) {
				if r := d.reports; r != nil {
					r.Probe(p, e)
				}
			},
		},
	})
}

func (d *Daemon) newScheduler(p id.Pool, view sched.HealthView) sched.Scheduler {
	opts := sched.Options{
		Pool: p,
		Self: d.self,
		Seed: uint64(d.self.Incarnation),
		// A pool's next manager in this process must not reuse the reservation
		// numbers of the previous one.
		FirstReservation: uint64(d.now()),
		Health:           view,
		Violation:        d.metrics.Violation,
	}
	switch d.settings.Policy {
	case settings.PolicyNaive:
		return naive.New(opts)
	case settings.PolicyOptimistic:
		return sched.NewOptimistic(opts)
	case settings.PolicyLedgerEarly:
		opts.Reservation = sched.Early
	}
	return sched.NewLedger(opts)
}

// pools returns the names of all pools of the configuration in force.
func (d *Daemon) pools() []id.Pool {
	doc := d.configs.Index().Document()
	all := make([]id.Pool, len(doc.Pools))
	for i := range doc.Pools {
		all[i] = doc.Pools[i].Name
	}
	return all
}

// ownedPools returns the names of the pools that this daemon schedules.
func (d *Daemon) ownedPools() []id.Pool {
	return d.broker.Scheduled(d.pools())
}

// reportSink passes the endpoints' reports on to the broker and the canceller.
type reportSink struct{ d *Daemon }

// Load implements reports.Sink.
func (s reportSink) Load(p id.Pool, l sched.Load) {
	s.d.broker.Load(p, l)
	if l.Reachable {
		s.d.cancels.Incarnation(l.Endpoint, l.Incarnation)
	}
}

// Cache implements reports.Sink.
func (s reportSink) Cache(p id.Pool, e id.Endpoint, events []sched.CacheEvent, gap bool) {
	s.d.broker.Cache(p, e, events, gap)
}

// List implements reports.Sink.
func (s reportSink) List(p id.Pool, e id.Endpoint, list wire.RequestList) {
	s.d.cancels.List(e, list)
	held := make(map[id.Request]bool, len(list.Requests))
	for _, r := range list.Requests {
		held[id.Request(r.Request)] = r.Stage != string(reap.StageFinished)
	}
	s.d.broker.Holding(p, e, held)
}

// catalog looks up endpoints in the configuration in force.
type catalog struct{ d *Daemon }

// Endpoint implements completion.Catalog.
func (c catalog) Endpoint(name id.Endpoint) (*live.Endpoint, bool) {
	return c.d.configs.Index().Endpoint(name)
}

// recorder records the decisions of the request pipeline.
type recorder struct{ d *Daemon }

// Decision implements completion.Recorder. It also notes the decision for each
// endpoint among the values.
func (r recorder) Decision(kind, subject, event string, keyvals ...any) {
	r.d.decisions.Decide(logline.Subject(kind), subject, event, keyvals...)
	for i := 0; i+1 < len(keyvals); i += 2 {
		endpoint, ok := keyvals[i+1].(id.Endpoint)
		if ok && endpoint != "" {
			r.d.decisions.RecordOnly(logline.SubjectEndpoint, string(endpoint), event, append([]any{"request", subject}, keyvals...)...)
		}
	}
}

// trackingPairer registers requests that wait for a grant or hold one as this
// daemon's own work, so that the reaper does not take them for orphans.
type trackingPairer struct {
	*broker.Broker
	cancels *cancels.Cancels
}

// Pair implements completion.Pairer.
func (t trackingPairer) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	t.cancels.Enter(w.Request)
	grant, err := t.Broker.Pair(ctx, w, patience)
	if err != nil {
		t.cancels.Exit(w.Request)
	}
	return grant, err
}

// Resume implements completion.Pairer.
func (t trackingPairer) Resume(w sched.Want, g sched.Grant) {
	t.cancels.Enter(w.Request)
	t.Broker.Resume(w, g)
}

// Progress implements completion.Pairer.
func (t trackingPairer) Progress(p sched.Progress) {
	t.Broker.Progress(p)
	if p.Phase >= sched.PhaseDone {
		t.cancels.Exit(p.Request)
	}
}

// retrier makes the retry budgets safe for concurrent use by all requests.
type retrier struct {
	mu   sync.Mutex
	core *retry.Retrier
	now  func() time.Duration
}

// minAttemptTime is the least remaining time that another attempt needs.
const minAttemptTime = 100 * time.Millisecond

func newRetrier(now func() time.Duration, rng *rand.Rand) *retrier {
	return &retrier{core: retry.New(now(), retry.Config{}, rng), now: now}
}

// Decide implements completion.Retrier. Its callers call it only for requests that
// may be repeated.
func (r *retrier) Decide(team *live.Team, err *verdict.Error, n int, remaining time.Duration) completion.Retry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetTeamFloor(r.now(), team.Name, team.RetryPerSecond)
	decision := r.core.Decide(r.now(), retry.Failure{
		Team:       team.Name,
		Err:        err,
		Attempt:    n,
		Remaining:  remaining,
		Cost:       minAttemptTime,
		Idempotent: true,
	})
	return completion.Retry{Allowed: decision.Retry, Delay: decision.After, Reason: string(decision.Reason)}
}

// Success implements completion.Retrier.
func (r *retrier) Success(team *live.Team) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Success(r.now(), team.Name)
}

// httpLogger writes the messages of the HTTP library to the log.
type httpLogger struct{ to *logline.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.to.Debug("http", "says", fmt.Sprintf(format, args...))
}
