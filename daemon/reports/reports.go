// Package reports polls the endpoints for their load, cache events and held requests.
// Only the owner of a pool polls that pool's endpoints, so that their cost does not
// grow with the size of the fleet.
package reports

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

const (
	// loadEvery, cacheEvery and listEvery are the mean intervals between queries.
	loadEvery  = 250 * time.Millisecond
	cacheEvery = 250 * time.Millisecond
	listEvery  = time.Second
	// tickEvery is the interval at which the duty starts due queries; idleEvery
	// replaces it while this daemon has no endpoint to poll.
	tickEvery = 100 * time.Millisecond
	idleEvery = 200 * time.Millisecond
)

// Sink receives the reports.
type Sink interface {
	// Load receives an endpoint's load. Reachable is false if the query failed.
	Load(p id.Pool, l sched.Load)
	// Cache receives cache events; gap is set if events were lost before or between
	// them.
	Cache(p id.Pool, e id.Endpoint, events []sched.CacheEvent, gap bool)
	// List receives the requests that an endpoint holds.
	List(p id.Pool, e id.Endpoint, list wire.RequestList)
}

// Config holds the dependencies of a Reports.
type Config struct {
	Endpoints *endpoints.Set
	// Index returns the configuration in force.
	Index func() *live.Index
	// Owned returns the pools that this daemon schedules.
	Owned   func() []id.Pool
	Sink    Sink
	Work    *workpool.Pool
	Metrics *metrics.Registry
	Now     func() time.Duration
	Rand    *rand.Rand
	// Ready delays the start of the duty until it is closed.
	Ready <-chan struct{}
}

// Reports is the running duty.
type Reports struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	polls map[id.Endpoint]*pollState

	queries *metrics.Counter
	failed  *metrics.Counter
}

// pollState is the state of the polls of one endpoint.
type pollState struct {
	// load, cache and list are the times of the next queries.
	load, cache, list time.Duration
	// busy is set while a poll is running.
	busy bool
	// lastCacheEvent is the number of the last cache event received.
	lastCacheEvent uint64
}

// Start starts the duty.
func Start(cfg Config) *Reports {
	r := &Reports{
		cfg:     cfg,
		done:    make(chan struct{}),
		polls:   make(map[id.Endpoint]*pollState),
		queries: cfg.Metrics.Counter("reports_asked", metrics.UnitCount, "queries to endpoints"),
		failed:  cfg.Metrics.Counter("reports_failed", metrics.UnitCount, "queries to endpoints without an answer"),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	go r.run()
	return r
}

// Close stops the duty and waits for it.
func (r *Reports) Close() {
	r.stop()
	<-r.done
}

// Probe queries an endpoint's load immediately.
func (r *Reports) Probe(p id.Pool, e id.Endpoint) {
	endpoint, ok := r.cfg.Index().Endpoint(e)
	if !ok {
		return
	}
	r.cfg.Work.Submit(func() { r.queryLoad(p, endpoint) })
}

func (r *Reports) run() {
	defer close(r.done)
	select {
	case <-r.ctx.Done():
		return
	case <-r.cfg.Ready:
	}
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-timer.C:
		}
		if r.pollDue() > 0 {
			timer.Reset(tickEvery)
		} else {
			timer.Reset(idleEvery)
		}
	}
}

// pollDue starts the queries that are due and returns the number of endpoints that
// this daemon polls.
func (r *Reports) pollDue() int {
	index := r.cfg.Index()
	now := r.cfg.Now()
	seen := make(map[id.Endpoint]bool)
	for _, p := range r.cfg.Owned() {
		for _, e := range index.Endpoints(p) {
			seen[e.Name] = true
			r.pollEndpoint(now, p, e)
		}
	}
	r.dropRemoved(seen)
	return len(seen)
}

func (r *Reports) dropRemoved(seen map[id.Endpoint]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e := range r.polls {
		if !seen[e] {
			delete(r.polls, e)
		}
	}
}

// dueQueries are the queries that are due at one endpoint besides the load.
type dueQueries struct{ cache, list bool }

// pollEndpoint runs the due queries of one endpoint in a single work item, so that an
// endpoint that hangs has only one open query.
func (r *Reports) pollEndpoint(now time.Duration, p id.Pool, e *live.Endpoint) {
	state, due, ok := r.startPoll(now, e)
	if !ok {
		return
	}
	task := func() {
		defer r.endPoll(state)
		r.queryAll(p, e, state, due)
	}
	if !r.cfg.Work.Submit(task) {
		r.endPoll(state)
	}
}

// startPoll marks an endpoint as being polled. It returns false if nothing is due or
// the previous poll is still running.
func (r *Reports) startPoll(now time.Duration, e *live.Endpoint) (*pollState, dueQueries, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.polls[e.Name]
	if !ok {
		state = &pollState{}
		r.polls[e.Name] = state
	}
	if state.busy || now < state.load {
		return nil, dueQueries{}, false
	}
	state.busy = true
	state.load = now + r.jitter(loadEvery)
	engine := live.Role(e.Labels[live.LabelRole]) != live.RolePlain
	due := dueQueries{cache: engine && now >= state.cache, list: engine && now >= state.list}
	if due.cache {
		state.cache = now + r.jitter(cacheEvery)
	}
	if due.list {
		state.list = now + r.jitter(listEvery)
	}
	return state, due, true
}

func (r *Reports) queryAll(p id.Pool, e *live.Endpoint, state *pollState, due dueQueries) {
	if !r.queryLoad(p, e) {
		return
	}
	if due.cache {
		r.queryCacheEvents(p, e, state)
	}
	if due.list {
		r.queryRequests(p, e)
	}
}

func (r *Reports) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)))
}

func (r *Reports) endPoll(state *pollState) {
	r.mu.Lock()
	state.busy = false
	r.mu.Unlock()
}

func (r *Reports) queryLoad(p id.Pool, e *live.Endpoint) bool {
	ctx, cancel := endpoints.WithShortTimeout(r.ctx)
	defer cancel()
	r.queries.Inc()
	report, err := r.load(ctx, e)
	if err != nil {
		r.failed.Inc()
		r.cfg.Sink.Load(p, sched.Load{Endpoint: e.Name})
		return false
	}
	r.cfg.Sink.Load(p, sched.Load{
		Endpoint:    e.Name,
		Incarnation: id.Incarnation(report.Incarnation),
		Running:     report.Running,
		Waiting:     report.Waiting,
		Slots:       report.Slots,
		Leaving:     report.Leaving,
		Reachable:   true,
		Model:       report.Model,
		Role:        live.Role(report.Role),
	})
	return true
}

func (r *Reports) load(ctx context.Context, e *live.Endpoint) (wire.LoadReport, error) {
	if live.Role(e.Labels[live.LabelRole]) == live.RolePlain {
		return r.cfg.Endpoints.Plain(e.Address).Load(ctx)
	}
	return r.cfg.Endpoints.Engine(e.Address).Load(ctx)
}

// queryCacheEvents fetches cache events. A jump in their numbers is a gap.
func (r *Reports) queryCacheEvents(p id.Pool, e *live.Endpoint, state *pollState) {
	ctx, cancel := endpoints.WithShortTimeout(r.ctx)
	defer cancel()
	r.queries.Inc()
	batch, err := r.cfg.Endpoints.Engine(e.Address).CacheEvents(ctx, state.lastCacheEvent)
	if err != nil {
		r.failed.Inc()
		return
	}
	if len(batch.Events) == 0 {
		return
	}
	events := make([]sched.CacheEvent, 0, len(batch.Events))
	gap := false
	for _, item := range batch.Events {
		gap = gap || (state.lastCacheEvent != 0 && item.Number != state.lastCacheEvent+1)
		state.lastCacheEvent = item.Number
		events = append(events, sched.CacheEvent{Endpoint: e.Name, Block: item.Block, Stored: item.Stored})
	}
	r.cfg.Sink.Cache(p, e.Name, events, gap)
}

func (r *Reports) queryRequests(p id.Pool, e *live.Endpoint) {
	ctx, cancel := endpoints.WithShortTimeout(r.ctx)
	defer cancel()
	r.queries.Inc()
	list, err := r.cfg.Endpoints.Engine(e.Address).Requests(ctx)
	if err != nil {
		r.failed.Inc()
		return
	}
	r.cfg.Sink.List(p, e.Name, list)
}
