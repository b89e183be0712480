// Package placement decides which model, adapter, version and role each engine
// should have, from pools, labels and demand, and applies the decisions in
// steps: drain, request a load from the weight store, order, wait until ready.
// One daemon runs it, under a lease. It has no I/O: observations and times go
// in, actions come out. Orders are desired state, so repeating one is harmless.
package placement

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Config holds the times and limits of placement.
type Config struct {
	// MinDwell is how long an endpoint and its pool keep their roles after a
	// change caused by demand.
	MinDwell time.Duration
	// High and Low are utilisations, 0 to 1: a role at or above High takes an
	// endpoint from one at or below Low, once this has lasted for Sustain.
	High, Low float64
	Sustain   time.Duration
	// DrainLimit bounds the wait for an endpoint to become empty. A change that
	// is not possible by then is postponed; running requests are never cut off.
	DrainLimit time.Duration
	// MaxLoads bounds the concurrent loads from the weight store.
	MaxLoads int
	// OrderRepeat is the interval at which an order is repeated until applied.
	OrderRepeat time.Duration
	// GrantTimeout is how long a request to the weight store may stay
	// unanswered before it is repeated.
	GrantTimeout time.Duration
	// Fresh is the maximum age of an observation that is acted on.
	Fresh time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MinDwell:     2 * time.Minute,
		High:         0.85,
		Low:          0.5,
		Sustain:      15 * time.Second,
		DrainLimit:   time.Minute,
		MaxLoads:     2,
		OrderRepeat:  5 * time.Second,
		GrantTimeout: 5 * time.Second,
		Fresh:        5 * time.Second,
	}
}

// Setup is what an endpoint serves, or should serve.
type Setup struct {
	Model   string
	Adapter string
	Version string
	Role    live.Role
}

// sameWeights reports whether a change between two setups needs no load.
func (s Setup) sameWeights(o Setup) bool {
	return s.Model == o.Model && s.Adapter == o.Adapter && s.Version == o.Version
}

// Observation is the observed state of an endpoint.
type Observation struct {
	Endpoint id.Endpoint
	Setup    Setup
	// Ready is false while a load or a role change runs.
	Ready bool
	// Busy counts the requests at the endpoint, including waiting ones.
	Busy int
	// Reachable is false if the state could not be read.
	Reachable bool
	// Leaving is set if the endpoint reports that it takes no new work.
	Leaving bool
}

// Demand is the utilisation of a pool's roles: 0 is idle, 1 is full, and above
// 1 work waits.
type Demand struct {
	Pool    id.Pool
	Prefill float64
	Decode  float64
}

// Order sends an endpoint its desired setup. It may be sent only through the
// lease's order gate.
type Order struct {
	Endpoint      id.Endpoint
	Setup         Setup
	ChecksFencing bool
	Reason        string
}

// GrantRequest requests one load from the weight store.
type GrantRequest struct {
	Endpoint id.Endpoint
	Model    string
}

// Drain requests that the pool's owner stop, or resume, new work on an
// endpoint.
type Drain struct {
	Endpoint id.Endpoint
	Pool     id.Pool
	On       bool
	Reason   string
}

// Decision describes a decision, for the log and for operators.
type Decision struct {
	Endpoint id.Endpoint
	Pool     id.Pool
	Event    string
	Reason   string
}

// Action is an action to carry out or a decision to log; exactly one field is
// set.
type Action struct {
	Order    *Order
	Grant    *GrantRequest
	Drain    *Drain
	Decision *Decision
}

// step is the step of a change towards the desired setup.
type step uint8

const (
	stepIdle step = iota
	stepDraining
	stepRequestingGrant
	stepOrdered
)

// engine is the state of one endpoint.
type engine struct {
	name         id.Endpoint
	config       *live.Endpoint
	pool         *live.Pool
	everObserved bool
	observed     Observation
	observedAt   time.Duration

	desired    Setup
	hasDesired bool
	roleLabel  string
	// roleChangedAt is when demand last changed the role; roleChanged is set if
	// it ever did.
	roleChangedAt time.Duration
	roleChanged   bool

	step      step
	stepSince time.Duration
	// needsLoad is set while the current change needs a load from the weight
	// store.
	needsLoad bool
	// retryAt is when the next request, order or change is due.
	retryAt time.Duration
	// postponeReason is the reason of the last postponement, kept to log it
	// once.
	postponeReason string
}

// poolState is the state of one pool.
type poolState struct {
	pool        *live.Pool
	members     []*engine
	demand      Demand
	demandKnown bool
	shortRole   live.Role
	shortSince  time.Duration
	lastMoveAt  time.Duration
	everMoved   bool
}

// Placement decides for all pools. It is not safe for concurrent use.
type Placement struct {
	cfg     Config
	engines map[id.Endpoint]*engine
	pools   []*poolState
	actions []Action
}

// New returns a placement without observations. A new lease holder starts with
// one and adopts the observed roles as the desired ones.
func New(cfg Config) *Placement {
	return &Placement{cfg: cfg, engines: map[id.Endpoint]*engine{}}
}

// Configure applies a new configuration.
func (p *Placement) Configure(now time.Duration, x *live.Index) []Action {
	old := p.engines
	p.engines = map[id.Endpoint]*engine{}
	groups := map[id.Pool]*poolState{}
	for _, g := range p.pools {
		groups[g.pool.Name] = g
	}
	p.pools = nil
	doc := x.Document()
	for i := range doc.Pools {
		pool := &doc.Pools[i]
		if pool.Model == "" {
			continue
		}
		g := groups[pool.Name]
		if g == nil {
			g = &poolState{}
		}
		g.pool = pool
		g.members = p.carryOver(x.Endpoints(pool.Name), pool, old)
		p.pools = append(p.pools, g)
	}
	for _, e := range sortedEngines(old) {
		if p.engines[e.name] == nil {
			p.cancel(e, "the endpoint is no longer in any pool")
		}
	}
	return p.flush()
}

// carryOver returns a pool's endpoints with their known state. An endpoint that
// several pools select belongs to the first.
func (p *Placement) carryOver(endpoints []*live.Endpoint, pool *live.Pool, old map[id.Endpoint]*engine) []*engine {
	var members []*engine
	for _, c := range endpoints {
		if p.engines[c.Name] != nil {
			continue
		}
		e := old[c.Name]
		if e == nil {
			e = &engine{name: c.Name}
		}
		e.config, e.pool = c, pool
		p.engines[c.Name] = e
		members = append(members, e)
	}
	return members
}

// Observe records the observed state of an endpoint.
func (p *Placement) Observe(now time.Duration, o Observation) {
	e := p.engines[o.Endpoint]
	if e == nil {
		return
	}
	if !o.Reachable {
		e.observed.Reachable = false
		return
	}
	e.observed, e.observedAt, e.everObserved = o, now, true
}

// Demand records the utilisation of a pool.
func (p *Placement) Demand(now time.Duration, d Demand) {
	for _, g := range p.pools {
		if g.pool.Name == d.Pool {
			g.demand, g.demandKnown = d, true
		}
	}
}

// Granted handles the reply of the weight store; retryAfter applies if the load
// was refused.
func (p *Placement) Granted(now time.Duration, endpoint id.Endpoint, ok bool, retryAfter time.Duration) []Action {
	e := p.engines[endpoint]
	if e == nil || e.step != stepRequestingGrant {
		return nil
	}
	if !ok {
		e.retryAt = now + max(retryAfter, p.cfg.OrderRepeat/5)
		return nil
	}
	p.sendOrder(now, e, "the weight store granted the load")
	return p.flush()
}

// Desired returns the setup that an endpoint should have.
func (p *Placement) Desired(endpoint id.Endpoint) (Setup, bool) {
	e := p.engines[endpoint]
	if e == nil || !e.hasDesired {
		return Setup{}, false
	}
	return e.desired, true
}

// Draining returns the endpoints that placement keeps free of new work, sorted
// by name.
func (p *Placement) Draining() []id.Endpoint {
	var out []id.Endpoint
	for _, e := range sortedEngines(p.engines) {
		if e.step != stepIdle {
			out = append(out, e.name)
		}
	}
	return out
}

// Tick updates the decisions and takes the next steps.
func (p *Placement) Tick(now time.Duration) []Action {
	for _, g := range p.pools {
		p.setDesired(now, g)
	}
	for _, g := range p.pools {
		p.rebalance(now, g)
	}
	for _, g := range p.pools {
		for _, e := range g.members {
			p.advance(now, g, e)
		}
	}
	return p.flush()
}

func (p *Placement) flush() []Action {
	out := p.actions
	p.actions = nil
	return out
}

func (p *Placement) recordDecision(e *engine, event, reason string) {
	p.actions = append(p.actions, Action{Decision: &Decision{Endpoint: e.name, Pool: e.pool.Name, Event: event, Reason: reason}})
}

func sortedEngines(m map[id.Endpoint]*engine) []*engine {
	out := make([]*engine, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engine) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}
