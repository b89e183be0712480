// Package reports is the duty that asks endpoints how they are: load, cache
// events and what they hold. Only the owner of a pool asks that pool's
// endpoints, so their cost does not grow with the fleet.
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
	// loadEvery, cacheEvery and listEvery are the pauses between questions.
	loadEvery  = 250 * time.Millisecond
	cacheEvery = 250 * time.Millisecond
	listEvery  = time.Second
	// tickEvery is how often the duty looks at what is due, idleEvery while this
	// daemon schedules no pool.
	tickEvery = 100 * time.Millisecond
	idleEvery = 200 * time.Millisecond
)

// Sink takes the reports.
type Sink interface {
	Load(p id.Pool, l sched.Load)
	Cache(p id.Pool, e id.Endpoint, events []sched.CacheEvent, gap bool)
	List(p id.Pool, e id.Endpoint, list wire.RequestList)
}

// Config is what the duty works with.
type Config struct {
	Endpoints *endpoints.Set
	// Index gives the configuration in force.
	Index func() *live.Index
	// Owned lists the pools that this daemon schedules.
	Owned   func() []id.Pool
	Sink    Sink
	Work    *workpool.Pool
	Metrics *metrics.Registry
	Now     func() time.Duration
	Rand    *rand.Rand
	// Ready holds the duty back until it is closed.
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

// node is when one endpoint is asked next.
type pollState struct {
	load, cache, list time.Duration
	busy              bool
	lastCacheEvent    uint64
}

// Start starts the duty.
func Start(cfg Config) *Reports {
	r := &Reports{
		cfg:     cfg,
		done:    make(chan struct{}),
		polls:   make(map[id.Endpoint]*pollState),
		queries: cfg.Metrics.Counter("reports_asked", metrics.UnitCount, "questions to endpoints"),
		failed:  cfg.Metrics.Counter("reports_failed", metrics.UnitCount, "questions to endpoints without an answer"),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	go r.run()
	return r
}

// Close ends the duty.
func (r *Reports) Close() {
	r.stop()
	<-r.done
}

// Probe asks an endpoint for its load at once.
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

// look starts the questions that are due and returns how many endpoints there
// are to ask.
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

// questions are those that are due at one endpoint.
type dueQueries struct{ cache, list bool }

// lookAt asks one endpoint what is due, all in one piece of work: an endpoint
// that hangs has one question open, not many.
func (r *Reports) pollEndpoint(now time.Duration, p id.Pool, e *live.Endpoint) {
	n, due, ok := r.startPoll(now, e)
	if !ok {
		return
	}
	task := func() {
		defer r.endPoll(n)
		r.queryAll(p, e, n, due)
	}
	if !r.cfg.Work.Submit(task) {
		r.endPoll(n)
	}
}

// begin marks an endpoint as being asked. It returns false when nothing is due
// or a question is still open.
func (r *Reports) startPoll(now time.Duration, e *live.Endpoint) (*pollState, dueQueries, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.polls[e.Name]
	if !ok {
		n = &pollState{}
		r.polls[e.Name] = n
	}
	if n.busy || now < n.load {
		return nil, dueQueries{}, false
	}
	n.busy = true
	n.load = now + r.jitter(loadEvery)
	engine := live.Role(e.Labels[live.LabelRole]) != live.RolePlain
	due := dueQueries{cache: engine && now >= n.cache, list: engine && now >= n.list}
	if due.cache {
		n.cache = now + r.jitter(cacheEvery)
	}
	if due.list {
		n.list = now + r.jitter(listEvery)
	}
	return n, due, true
}

func (r *Reports) queryAll(p id.Pool, e *live.Endpoint, n *pollState, due dueQueries) {
	if !r.queryLoad(p, e) {
		return
	}
	if due.cache {
		r.queryCacheEvents(p, e, n)
	}
	if due.list {
		r.queryRequests(p, e)
	}
}

func (r *Reports) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)))
}

func (r *Reports) endPoll(n *pollState) {
	r.mu.Lock()
	n.busy = false
	r.mu.Unlock()
}

func (r *Reports) queryLoad(p id.Pool, e *live.Endpoint) bool {
	ctx, cancel := endpoints.Short(r.ctx)
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

// askCache fetches cache events; a jump in their numbers is a gap.
func (r *Reports) queryCacheEvents(p id.Pool, e *live.Endpoint, n *pollState) {
	ctx, cancel := endpoints.Short(r.ctx)
	defer cancel()
	r.queries.Inc()
	batch, err := r.cfg.Endpoints.Engine(e.Address).CacheEvents(ctx, n.lastCacheEvent)
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
		gap = gap || (n.lastCacheEvent != 0 && item.Number != n.lastCacheEvent+1)
		n.lastCacheEvent = item.Number
		events = append(events, sched.CacheEvent{Endpoint: e.Name, Block: item.Block, Stored: item.Stored})
	}
	r.cfg.Sink.Cache(p, e.Name, events, gap)
}

func (r *Reports) queryRequests(p id.Pool, e *live.Endpoint) {
	ctx, cancel := endpoints.Short(r.ctx)
	defer cancel()
	r.queries.Inc()
	list, err := r.cfg.Endpoints.Engine(e.Address).Requests(ctx)
	if err != nil {
		r.failed.Inc()
		return
	}
	r.cfg.Sink.List(p, e.Name, list)
}
