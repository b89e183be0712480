package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/roles"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
)

const (
	// rolesLook is how often the demand of the owned pools is looked at.
	rolesLook = 500 * time.Millisecond
	// rolesStart is how long a pool must have had the same engines before an
	// order: when the fleet starts, or the store returns, endpoints register
	// over two heartbeats of theirs.
	rolesStart = 2500 * time.Millisecond
	// rolesSettle is that time once work was measured.
	rolesSettle = 400 * time.Millisecond
	// orderTimeout bounds an order, and the report before it.
	orderTimeout = 800 * time.Millisecond
	// drainFor is how long an engine may go on with its work before the order
	// is given; the engine itself lets running work end.
	drainFor = 400 * time.Millisecond
	// changeMargin is added to the time that a change of role takes before it
	// is taken for lost.
	changeMargin = 6 * time.Second
	// changeLimit bounds the wait for the lease and for an answer to the order.
	changeLimit = 12 * time.Second
	// orderAgain is the pause before an order that was refused, or whose result
	// is unknown, is looked at again.
	orderAgain = time.Second
	// changesShare of a pool's engines, and at least one, may be changing at a
	// time: they do no work meanwhile.
	changesShare = 6
	// leaseIdle is how long the lease is kept without an order to give.
	leaseIdle = 3 * time.Second
	// dutyRoles names the lease of the orders.
	dutyRoles = "roles"
)

// orderer is the duty that orders changes of role in the pools that this
// daemon owns. It holds the lease of the orders only while it has some to give.
type orderer struct {
	d     *Daemon
	f     *fleet
	duty  *duty.Duty
	work  *workpool.Pool
	store *store.Store
	pools map[id.Pool]*poolRoles
	// idleSince is when the last order was done with.
	idleSince time.Duration
	stopped   bool

	// mu guards what is looked at right before an order.
	mu sync.Mutex
	// lease is nil while no order is due; gate guards each order.
	lease *lease.Lease
	gate  *lease.OrderGate
	// fenced is the highest fencing number that was refused.
	fenced uint64
	// heldLast is the fencing number that this process held last.
	heldLast uint64

	results *metrics.CounterMap
	fence   *metrics.Gauge
}

// poolRoles is one pool's division and the changes under way.
type poolRoles struct {
	decider *roles.Decider
	changes map[id.Endpoint]*change
	// engines is how many there were when last looked at, settledAt when that
	// counts as settled.
	engines   int
	settledAt time.Duration
	// toldAt is when the pool's state was last logged.
	toldAt time.Duration
}

// change is one change of role under way.
type change struct {
	pool  id.Pool
	to    live.Role
	begun time.Duration
	// draining is set once the engine gets no new work, from drainedAt on.
	draining  bool
	drainedAt time.Duration
	// ordered is set once the order was taken, at orderedAt.
	ordered   bool
	orderedAt time.Duration
	// asking is set while a report or an order is on its way.
	asking bool
	// again is when the next step may be tried.
	again time.Duration
}

func startOrderer(d *Daemon, f *fleet, work *workpool.Pool, ready <-chan struct{}) *orderer {
	o := &orderer{
		d:       d,
		f:       f,
		work:    work,
		store:   store.New(d.platform.Store, work, d.metrics),
		pools:   map[id.Pool]*poolRoles{},
		results: d.metrics.CounterMap("role_orders", metrics.UnitCount, "Orders to engines to change their role, by result."),
		fence:   d.metrics.Gauge("role_lease_fence", metrics.UnitCount, "Fencing number of the lease of orders held here; 0 for none."),
	}
	o.duty = duty.Start(duty.Config{Name: "roles", Now: d.now, Tick: o.tick, Metrics: d.metrics, Ready: ready})
	return o
}

// Close ends the duty.
func (o *orderer) Close() { o.duty.Close() }

// Release gives the lease up for good: this daemon leaves.
func (o *orderer) Release() {
	o.duty.Post(func(now time.Duration) {
		o.stopped = true
		clear(o.pools)
		o.releaseLease(now)
	})
}

// Halt stops trusting the lease at once.
func (o *orderer) Halt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease != nil {
		// What it says of a lost lease is told by the next order's look.
		o.lease.Halt(o.d.now())
	}
}

// leaseConfig keeps the orders of two holders apart: the time for which a
// holder trusts its lease ends a whole lease time before another may take it.
func (o *orderer) leaseConfig() lease.Config {
	apart := milliseconds(o.d.set.Bounds.LeaseMS)
	trust := apart
	cfg := lease.DefaultConfig()
	cfg.TTL = trust + apart + 2*orderTimeout
	cfg.Safety = float64(trust) / float64(cfg.TTL)
	cfg.RenewEvery = trust / 3
	cfg.WatchEvery = 500 * time.Millisecond
	return cfg
}

// tick looks at the owned pools, and at the lease if there is one.
func (o *orderer) tick(now time.Duration) time.Duration {
	if !o.stopped {
		o.lookAtPools(now)
	}
	o.tickLease(now)
	return now + rolesLook
}

func (o *orderer) lookAtPools(now time.Duration) {
	doc := document(o.d.knowledge.current().Routes, nil)
	owned := map[id.Pool]bool{}
	for i := range doc.Pools {
		name := doc.Pools[i].Name
		if o.lookAtPool(now, name) {
			owned[name] = true
		}
	}
	o.f.owner.Store(len(owned) > 0)
	for name := range o.pools {
		if !owned[name] {
			delete(o.pools, name)
		}
	}
	o.leaseWhileNeeded(now)
}

// lookAtPool decides for one pool; it returns false for one that is not owned.
func (o *orderer) lookAtPool(now time.Duration, name id.Pool) bool {
	demand, ok := o.f.broker.Demand(name)
	if !ok {
		return false
	}
	p := o.pools[name]
	if p == nil {
		p = &poolRoles{decider: roles.New(roles.Config{}), changes: map[id.Endpoint]*change{}}
		o.pools[name] = p
	}
	o.endChanges(now, p)
	p.mark(demand.Prefills)
	p.mark(demand.Decodes)
	p.decider.Observe(now, demand)
	o.logState(now, name, p, demand)
	if n := len(demand.Prefills) + len(demand.Decodes); n != p.engines {
		p.engines = n
		p.settledAt = now + p.settleTime()
	}
	settled := now >= p.settledAt && o.d.knowledge.current().Lapsed == 0
	for settled && len(p.changes) < p.mostChanges() {
		c := p.decider.Decide(now, demand)
		if c == nil {
			break
		}
		o.beginChange(now, name, p, c)
		p.mark(demand.Prefills)
		p.mark(demand.Decodes)
	}
	for endpoint, c := range p.changes {
		o.advance(now, endpoint, c)
	}
	return true
}

// mostChanges bounds the changes under way. Before there is work nothing is
// lost by many.
func (p *poolRoles) mostChanges() int {
	if !p.decider.Measured() {
		return max(1, p.engines)
	}
	return max(1, p.engines/changesShare)
}

// settleTime is how long a pool must have the same engines before one is
// ordered. Once the division follows measured work, a pool that loses engines
// one after the other must not wait for the last.
func (p *poolRoles) settleTime() time.Duration {
	if p.decider.Measured() {
		return rolesSettle
	}
	return rolesStart
}

// stateEvery is how often the state of an owned pool is logged.
const stateEvery = time.Second

// logState writes a line on an owned pool that has work: what an engineer on
// call needs to tell a full pool from one that lost its engines.
func (o *orderer) logState(now time.Duration, name id.Pool, p *poolRoles, d sched.Demand) {
	if now < p.toldAt+stateEvery || d.Queued+d.MemoryHeld == 0 {
		return
	}
	p.toldAt = now
	working := 0
	for _, e := range d.Prefills {
		if e.Work > 0 {
			working++
		}
	}
	running := 0
	for _, e := range d.Decodes {
		running += e.Work
	}
	o.d.logger.Event("pool_state", "pool", name, "prefills", len(d.Prefills), "prefills_working", working,
		"prefill_backlog", d.PrefillBacklog, "decodes", len(d.Decodes), "decodes_running", running,
		"memory", d.Memory, "memory_held", d.MemoryHeld, "queued", d.Queued, "memory_wanted", d.MemoryWanted)
}

// mark tells the engines that are about to change their role.
func (p *poolRoles) mark(engines []sched.EngineDemand) {
	for i := range engines {
		if p.changes[engines[i].Endpoint] != nil {
			engines[i].Drained = true
		}
	}
}

func (o *orderer) beginChange(now time.Duration, pool id.Pool, p *poolRoles, c *roles.Change) {
	p.decider.Changed(now)
	p.changes[c.Endpoint] = &change{pool: pool, to: c.To, begun: now}
	o.d.logger.Event("role_change_begun", "pool", pool, "endpoint", c.Endpoint, "to", c.To,
		"wanted_prefills", c.Wanted, "prefills", c.Prefills, "decodes", c.Decodes)
}

// endChanges forgets the changes that are done, lost, or whose engine is gone.
func (o *orderer) endChanges(now time.Duration, p *poolRoles) {
	view := o.d.knowledge.current()
	for endpoint, c := range p.changes {
		e, known := view.Endpoints[endpoint]
		why := ""
		switch {
		case !known:
			why = "the engine is gone"
		case e.Role == c.to:
			why = "done"
		case c.ordered && now-c.orderedAt >= o.switchTime(e.Service)+changeMargin:
			why = "no change was seen in time"
		case !c.ordered && now-c.begun >= changeLimit:
			why = "no order could be given in time"
		default:
			continue
		}
		delete(p.changes, endpoint)
		o.f.broker.Drain(c.pool, endpoint, false)
		o.d.logger.Event("role_change_ended", "endpoint", endpoint, "to", c.to, "why", why, "took", now-c.begun)
	}
}

func (o *orderer) switchTime(service id.Service) time.Duration {
	if s := o.d.knowledge.current().Routes.Service(service); s != nil && s.Engine != nil {
		return s.Engine.SwitchTime
	}
	return 0
}

// advance takes the next step of a change. The engine goes on with its work
// until an order could be given.
func (o *orderer) advance(now time.Duration, endpoint id.Endpoint, c *change) {
	open := o.passage(now, endpoint) >= lease.ReadBack
	if !c.draining && open {
		c.draining = true
		c.drainedAt = now
	}
	if !c.draining {
		return
	}
	o.f.broker.Drain(c.pool, endpoint, true)
	if !open || c.ordered || c.asking || now < c.again || now-c.drainedAt < drainFor {
		return
	}
	c.asking = true
	sent := o.work.Submit(func() { o.orderNow(endpoint, c) })
	if !sent {
		c.asking = false
	}
}

// passage says whether an order may go out right now. Engines that check
// fencing numbers are treated as those that don't: orders of two holders must
// be apart towards all.
func (o *orderer) passage(now time.Duration, endpoint id.Endpoint) lease.Passage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease == nil || o.lease.Fence() <= o.fenced {
		return lease.Closed
	}
	return o.gate.Allow(now, endpoint, false)
}

// orderNow reads the engine's state and gives the order, in a worker.
func (o *orderer) orderNow(endpoint id.Endpoint, c *change) {
	result, fence := o.order(endpoint, c)
	o.duty.Post(func(now time.Duration) { o.ordered(now, endpoint, c, result, fence) })
}

func (o *orderer) order(endpoint id.Endpoint, c *change) (OrderResult, uint64) {
	ctx, cancel := context.WithTimeout(o.duty.Context(), orderTimeout)
	defer cancel()
	e, known := o.d.knowledge.current().Endpoints[endpoint]
	if !known {
		return OrderRefused, 0
	}
	state, err := o.d.platform.Engines.State(ctx, e)
	if err != nil {
		o.d.logger.Warn("engine_state_unknown", "endpoint", endpoint, "why", err)
		return OrderRefused, 0
	}
	if state.Changing || state.Role == c.to {
		return OrderTaken, 0
	}
	fence, ok := o.openGate(endpoint)
	if !ok {
		return OrderRefused, 0
	}
	order := RoleOrder{To: c.to, Holder: o.f.self.Daemon, Fence: fence, Orders: state.Orders}
	result, err := o.d.platform.Engines.Order(ctx, e, order)
	o.d.logger.Event("role_ordered", "endpoint", endpoint, "to", c.to, "fence", fence, "orders", state.Orders,
		"result", result, "why", err)
	return result, fence
}

// openGate is the last look, with the time read right then, before an order.
func (o *orderer) openGate(endpoint id.Endpoint) (uint64, bool) {
	now := o.d.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease == nil {
		return 0, false
	}
	o.gate.Repaired(now, endpoint)
	fence := o.gate.Fence()
	return fence, fence > o.fenced && o.gate.Allow(now, endpoint, false) == lease.Open
}

// ordered takes what came of an order.
func (o *orderer) ordered(now time.Duration, endpoint id.Endpoint, c *change, result OrderResult, fence uint64) {
	o.results.Add(result.String(), 1)
	c.asking = false
	c.again = now + orderAgain
	switch result {
	case OrderTaken:
		c.ordered = true
		c.orderedAt = now
	case OrderFenced:
		o.mu.Lock()
		o.fenced = max(o.fenced, fence)
		if o.lease != nil {
			o.lease.Halt(now)
		}
		o.mu.Unlock()
		o.d.logger.Warn("role_lease_fenced", "endpoint", endpoint, "fence", fence)
	}
}

// leaseWhileNeeded contends for the lease while there are orders to give, and
// gives it up a while after.
func (o *orderer) leaseWhileNeeded(now time.Duration) {
	needed := false
	for _, p := range o.pools {
		for _, c := range p.changes {
			needed = needed || !c.ordered
		}
	}
	if needed {
		o.idleSince = now
	}
	switch {
	case needed && o.lease == nil:
		o.mu.Lock()
		o.lease = lease.New(o.leaseConfig(), dutyRoles, o.f.self, now, o.d.newRand())
		o.gate = lease.NewOrderGate(lease.GateConfig{LongestOrder: milliseconds(o.d.set.Bounds.LeaseMS) + orderTimeout}, o.lease)
		o.mu.Unlock()
	case !needed && o.lease != nil && now-o.idleSince >= leaseIdle:
		o.releaseLease(now)
	}
}

func (o *orderer) releaseLease(now time.Duration) {
	if o.lease == nil {
		return
	}
	o.mu.Lock()
	actions := o.lease.Release(now)
	o.mu.Unlock()
	o.perform(now, actions)
}

func (o *orderer) tickLease(now time.Duration) {
	if o.lease == nil {
		return
	}
	o.mu.Lock()
	actions := o.lease.Tick(now)
	stopped := o.lease.Stopped()
	o.mu.Unlock()
	o.perform(now, actions)
	if stopped {
		o.mu.Lock()
		o.lease, o.gate = nil, nil
		o.mu.Unlock()
	}
}

// perform carries out what the lease wants done.
func (o *orderer) perform(now time.Duration, actions []lease.Action) {
	for _, a := range actions {
		switch {
		case a.Request != nil:
			o.ask(*a.Request)
		case a.Acquired != nil:
			o.mu.Lock()
			// Nobody held it between: no order but this process's own is on its way.
			a.Acquired.Own = o.heldLast != 0 && a.Acquired.Fence == o.heldLast+1
			o.heldLast = a.Acquired.Fence
			o.gate.Acquired(now, *a.Acquired)
			o.mu.Unlock()
			o.fence.Set(float64(a.Acquired.Fence))
			o.d.logger.Event("role_lease_acquired", "fence", a.Acquired.Fence, "previous", a.Acquired.Previous)
		case a.Lost != nil:
			o.fence.Set(0)
			o.d.logger.Event("role_lease_lost", "fence", a.Lost.Fence, "why", a.Lost.Reason)
		}
	}
}

func (o *orderer) ask(q table.Request) {
	asked := o.lease
	o.store.Do(o.duty.Context(), q, func(reply table.Reply) {
		o.duty.Post(func(now time.Duration) {
			if o.lease != asked {
				return
			}
			o.mu.Lock()
			actions := o.lease.Handle(now, reply)
			o.mu.Unlock()
			o.perform(now, actions)
		})
	})
}
