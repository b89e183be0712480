// Package placement decides which model, adapter, version and role each model
// engine should have, from pools, labels and demand, and brings it about step
// by step: drain, ask the weight store, order, wait until ready. One daemon
// runs it, under a lease. It has no I/O: observations and a time go in,
// actions come out. Orders are desired state, so repeating one is harmless.
package placement

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Config sets the pace of placement.
type Config struct {
	// MinDwell is how long an endpoint and its pool keep their roles after a
	// change that demand made.
	MinDwell time.Duration
	// High and Low are utilisations, 0 to 1: a role above High takes an
	// endpoint from one below Low, once that held for Sustain.
	High, Low float64
	Sustain   time.Duration
	// DrainLimit bounds the wait for an endpoint to become empty. A change
	// that can't be had by then is put off; work in flight is never cut.
	DrainLimit time.Duration
	// MaxLoads bounds the loads from the weight store at once.
	MaxLoads int
	// OrderRepeat is the time between repeats of an order not yet carried out.
	OrderRepeat time.Duration
	// GrantTimeout is how long a request to the weight store may stay unanswered.
	GrantTimeout time.Duration
	// Fresh is how old an observation may be to be acted on.
	Fresh time.Duration
}

// DefaultConfig returns the defaults.
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

// sameWeights tells whether no load is needed between two setups.
func (s Setup) sameWeights(o Setup) bool {
	return s.Model == o.Model && s.Adapter == o.Adapter && s.Version == o.Version
}

// Observation is an endpoint's state as it was read back.
type Observation struct {
	Endpoint id.Endpoint
	Setup    Setup
	// Ready is false while a load or a role change runs.
	Ready bool
	// Busy counts the requests that the endpoint holds, waiting ones too.
	Busy int
	// Reachable is false when it could not be read.
	Reachable bool
	// Leaving is the endpoint's own word that it takes no new work.
	Leaving bool
}

// Demand is the utilisation of a pool's roles, 0 (idle) to 1 (full) and above
// when work waits.
type Demand struct {
	Pool    id.Pool
	Prefill float64
	Decode  float64
}

// Order tells an endpoint its desired setup. It may go out only through the
// lease's order gate.
type Order struct {
	Endpoint      id.Endpoint
	Setup         Setup
	ChecksFencing bool
	Reason        string
}

// GrantRequest asks the weight store for one load.
type GrantRequest struct {
	Endpoint id.Endpoint
	Model    string
}

// Drain tells the pool's owner to stop, or resume, new work on an endpoint.
type Drain struct {
	Endpoint id.Endpoint
	Pool     id.Pool
	On       bool
	Reason   string
}

// Decision explains what was decided, for the log and for operators.
type Decision struct {
	Endpoint id.Endpoint
	Pool     id.Pool
	Event    string
	Reason   string
}

// Action is one thing to do or to know.
type Action struct {
	Order    *Order
	Grant    *GrantRequest
	Drain    *Drain
	Decision *Decision
}

// step is how far an endpoint is on its way to its desired setup.
type step uint8

const (
	stepIdle step = iota
	stepDraining
	stepRequestingGrant
	stepOrdered
)

// engine is what placement knows of one endpoint.
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
	// changed is when demand last changed the role; everChanged says if it did.
	roleChangedAt time.Duration
	roleChanged   bool

	step      step
	stepSince time.Duration
	// loads is set while the change under way needs the weight store.
	needsLoad bool
	// again is when the next repeat or request is due.
	retryAt time.Duration
	// held is the last reason why a change was put off, to log it once.
	postponeReason string
}

// group is what placement knows of one pool.
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

// New returns a placement that knows nothing yet. A new holder of the lease
// starts with one, and takes the roles that it finds for desired.
func New(cfg Config) *Placement {
	return &Placement{cfg: cfg, engines: map[id.Endpoint]*engine{}}
}

// Configure takes a new configuration.
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
			p.cancel(e, "the endpoint is in no pool now")
		}
	}
	return p.flush()
}

// adopt keeps what is known of a pool's endpoints. One that several pools
// select belongs to the first.
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

// Observe takes an endpoint's state.
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

// Demand takes a pool's utilisation.
func (p *Placement) Demand(now time.Duration, d Demand) {
	for _, g := range p.pools {
		if g.pool.Name == d.Pool {
			g.demand, g.demandKnown = d, true
		}
	}
}

// Granted takes the weight store's answer; retryAfter counts where it refused.
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

// Draining lists the endpoints that placement keeps free of new work, by name.
func (p *Placement) Draining() []id.Endpoint {
	var out []id.Endpoint
	for _, e := range sortedEngines(p.engines) {
		if e.step != stepIdle {
			out = append(out, e.name)
		}
	}
	return out
}

// Tick decides and takes the next steps.
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
