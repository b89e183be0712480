// Package placer places models on engines. Every daemon runs its duty, but only the
// holder of the lease acts. The duty drives core/lease and core/placement: it reads
// the state of the engines and sends each order only if the lease's gate allows it.
package placer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/placement"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

const (
	// Duty is the name of the lease.
	Duty = "placement"
	// decideEvery is the pause between two rounds of decisions.
	decideEvery = 250 * time.Millisecond
	// observeEvery is the pause between two readings of the engines.
	observeEvery = time.Second
	// maxOrderTime bounds the time from sending an order to its arrival at the engine.
	maxOrderTime = 3 * time.Second
)

// Config holds the settings and dependencies of a Placer.
type Config struct {
	Self      id.Process
	Store     *store.Store
	Weights   *client.Weights
	Endpoints *endpoints.Set
	Work      *workpool.Pool
	Metrics   *metrics.Registry
	// Decide logs a decision about an endpoint's placement.
	Decide func(e id.Endpoint, event string, kv ...any)
	// Log writes one line per event.
	Log func(event string, kv ...any)
	// Drain requests that the pool's owner stops, or resumes, new work on an endpoint.
	Drain func(p id.Pool, e id.Endpoint, on bool)
	// Demand returns the utilisation of the pools.
	Demand func(ctx context.Context) []placement.Demand
	Now    func() time.Duration
	Rand   *rand.Rand
	Lease  lease.Config
	Core   placement.Config
	// Ready delays the start of the duty until it is closed.
	Ready <-chan struct{}
}

// Placer is the running duty.
type Placer struct {
	cfg             Config
	duty            *duty.Duty
	lease           *lease.Lease
	gate            *lease.OrderGate
	core            *placement.Placement
	index           *live.Index
	nextDecision    time.Duration
	nextObservation time.Duration
	holder          atomic.Pointer[lease.Row]
	orders          *metrics.Counter
	refused         *metrics.Counter
	holding         *metrics.Gauge
}

// Start starts the duty.
func Start(cfg Config) *Placer {
	p := &Placer{
		cfg:     cfg,
		lease:   lease.New(cfg.Lease, Duty, cfg.Self, cfg.Now(), cfg.Rand),
		core:    placement.New(cfg.Core),
		index:   live.NewIndex(&live.Document{}),
		orders:  cfg.Metrics.Counter("placement_orders", metrics.UnitCount, "orders sent to engines"),
		refused: cfg.Metrics.Counter("placement_orders_refused", metrics.UnitCount, "orders that engines refused or that failed"),
		holding: cfg.Metrics.Gauge("placement_lease_held", metrics.UnitCount, "1 while this daemon holds the placement lease"),
	}
	p.gate = lease.NewOrderGate(lease.GateConfig{MaxOrderDelay: maxOrderTime}, p.lease)
	p.duty = duty.Start(duty.Config{Name: "placer", Now: cfg.Now, Tick: p.tick, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return p
}

// Close stops the duty.
func (p *Placer) Close() { p.duty.Close() }

// Holder returns the lease's row as last read.
func (p *Placer) Holder() lease.Row {
	if row := p.holder.Load(); row != nil {
		return *row
	}
	return lease.Row{}
}

// SetIndex sets the configuration.
func (p *Placer) SetIndex(x *live.Index) {
	p.duty.Post(func(now time.Duration) {
		p.index = x
		p.performPlacement(now, p.core.Configure(now, x))
	})
}

// Halt stops acting immediately, for example after this daemon was declared dead. When
// it returns, no further order will be sent.
func (p *Placer) Halt() {
	p.duty.Query(func(now time.Duration) { p.performLease(now, p.lease.Halt(now)) })
}

// Release releases the lease, so that another daemon can acquire it immediately.
func (p *Placer) Release() {
	p.duty.Post(func(now time.Duration) { p.performLease(now, p.lease.Release(now, false)) })
}

func (p *Placer) tick(now time.Duration) time.Duration {
	p.performLease(now, p.lease.Tick(now))
	row := p.lease.LastRow()
	p.holder.Store(&row)
	next := p.lease.Next()
	if !p.lease.Valid(now) {
		p.holding.Set(0)
		return next
	}
	p.holding.Set(1)
	if now >= p.nextObservation {
		p.nextObservation = now + observeEvery
		p.observe()
	}
	if now >= p.nextDecision {
		p.nextDecision = now + decideEvery
		p.performPlacement(now, p.core.Tick(now))
		p.repeatDrains()
	}
	return min(next, p.nextDecision, p.nextObservation)
}

// performLease performs the actions of the lease.
func (p *Placer) performLease(now time.Duration, actions []lease.Action) {
	for _, a := range actions {
		switch {
		case a.Request != nil:
			p.callStore(*a.Request)
		case a.Acquired != nil:
			p.cfg.Log("lease_acquired", "duty", Duty, "fence", a.Acquired.Fence, "previous", a.Acquired.Previous, "released", a.Acquired.Previous == (id.Process{}))
			p.gate.Acquired(now, *a.Acquired)
			p.core = placement.New(p.cfg.Core)
			p.performPlacement(now, p.core.Configure(now, p.index))
		case a.Lost != nil:
			p.cfg.Log("lease_lost", "duty", Duty, "fence", a.Lost.Fence, "why", a.Lost.Reason)
		}
	}
}

// repeatDrains repeats the active drains. A pool's owner ends a drain that is not
// repeated, so that none outlasts a holder that died.
func (p *Placer) repeatDrains() {
	for _, e := range p.core.Draining() {
		for i := range p.index.Document().Pools {
			pool := p.index.Document().Pools[i].Name
			if slices.ContainsFunc(p.index.Endpoints(pool), func(x *live.Endpoint) bool { return x.Name == e }) {
				p.cfg.Drain(pool, e, true)
			}
		}
	}
}

func (p *Placer) callStore(q table.Request) {
	p.cfg.Store.Do(p.duty.Context(), q, func(r table.Reply) {
		p.duty.Post(func(now time.Duration) { p.performLease(now, p.lease.Handle(now, r)) })
	})
}

// observe reads the state of every engine and the demand of the pools.
func (p *Placer) observe() {
	seen := make(map[id.Endpoint]bool)
	for i := range p.index.Document().Pools {
		pool := &p.index.Document().Pools[i]
		if pool.Model == "" {
			continue
		}
		for _, e := range p.index.Endpoints(pool.Name) {
			if !seen[e.Name] {
				seen[e.Name] = true
				p.cfg.Work.Submit(func() { p.observeOne(e) })
			}
		}
	}
	p.cfg.Work.Submit(p.observeDemand)
}

func (p *Placer) observeDemand() {
	ctx, cancel := endpoints.WithShortTimeout(p.duty.Context())
	defer cancel()
	demands := p.cfg.Demand(ctx)
	p.duty.Post(func(now time.Duration) {
		for _, d := range demands {
			p.core.Demand(now, d)
		}
	})
}

func (p *Placer) observeOne(e *live.Endpoint) {
	ctx, cancel := endpoints.WithShortTimeout(p.duty.Context())
	defer cancel()
	o := placement.Observation{Endpoint: e.Name}
	engine := p.cfg.Endpoints.Engine(e.Address)
	state, err := engine.OrderState(ctx)
	if err == nil {
		load, loadErr := engine.Load(ctx)
		err = loadErr
		o.Busy = load.Running + load.Waiting
		o.Leaving = load.Leaving
	}
	o.Reachable = err == nil
	o.Ready = state.Ready
	o.Setup = placement.Setup{Model: state.Model, Adapter: state.Adapter, Version: state.Version, Role: live.Role(state.Role)}
	p.duty.Post(func(now time.Duration) {
		p.core.Observe(now, o)
		if o.Reachable {
			p.gate.MarkReadBack(now, e.Name)
		}
	})
}

// performPlacement performs the actions of core/placement.
func (p *Placer) performPlacement(now time.Duration, actions []placement.Action) {
	for _, a := range actions {
		switch {
		case a.Order != nil:
			p.order(now, a.Order)
		case a.Grant != nil:
			p.reserve(a.Grant)
		case a.Drain != nil:
			p.cfg.Drain(a.Drain.Pool, a.Drain.Endpoint, a.Drain.On)
		case a.Decision != nil:
			p.cfg.Decide(a.Decision.Endpoint, "placement_"+a.Decision.Event, "pool", a.Decision.Pool, "why", a.Decision.Reason)
		}
	}
}

// order sends an order if the gate allows it now. core/placement repeats an order that
// was not carried out.
func (p *Placer) order(now time.Duration, o *placement.Order) {
	endpoint, ok := p.index.Endpoint(o.Endpoint)
	if !ok {
		return
	}
	state := p.gate.Allow(now, o.Endpoint, o.ChecksFencing)
	p.cfg.Decide(o.Endpoint, "placement_order", "setup", o.Setup, "passage", state, "fence", p.gate.Fence(), "why", o.Reason)
	if state != lease.Open {
		return
	}
	order := wire.Order{
		Fence:   p.gate.Fence(),
		Model:   o.Setup.Model,
		Adapter: o.Setup.Adapter,
		Version: o.Setup.Version,
		Role:    string(o.Setup.Role),
	}
	p.orders.Inc()
	p.cfg.Work.Submit(func() { p.send(endpoint, order) })
}

func (p *Placer) send(e *live.Endpoint, order wire.Order) {
	// Check the lease again right before sending: the work may have been queued for
	// some time.
	valid := false
	p.duty.Query(func(now time.Duration) { valid = p.lease.Valid(now) && p.lease.Fence() == order.Fence })
	if !valid {
		return
	}
	ctx, cancel := endpoints.WithShortTimeout(p.duty.Context())
	defer cancel()
	if _, err := p.cfg.Endpoints.Engine(e.Address).Order(ctx, order); err != nil {
		p.refused.Inc()
		p.cfg.Decide(e.Name, "placement_order_failed", "fence", order.Fence, "err", err)
	}
}

// reserve requests a grant for one load from the weight store.
func (p *Placer) reserve(g *placement.GrantRequest) {
	p.cfg.Work.Submit(func() {
		ctx, cancel := endpoints.WithShortTimeout(p.duty.Context())
		defer cancel()
		grant, err := p.cfg.Weights.Reserve(ctx, g.Model)
		if err != nil {
			return
		}
		retry := time.Duration(grant.RetryAfterMS) * time.Millisecond
		p.duty.Post(func(now time.Duration) {
			p.performPlacement(now, p.core.Granted(now, g.Endpoint, grant.Granted, retry))
		})
	})
}
