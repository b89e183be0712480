package gateway

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/roles"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
)

const (
	// rolesLook is how often the demand of the owned pools is looked at.
	rolesInterval = 500 * time.Millisecond
	// rolesStart is how long a pool must have had the same engines before an
	// order: when the fleet starts, or the store returns, endpoints register
	// over two heartbeats of theirs.
	initialSettleTime = 2500 * time.Millisecond
	// rolesSettle is that time once work was measured.
	measuredSettleTime = 400 * time.Millisecond
	// orderTimeout bounds an order, and the report before it.
	orderTimeout = 800 * time.Millisecond
	// drainFor is how long an engine may go on with its work before the order
	// is given; the engine itself lets running work end.
	drainTime = 400 * time.Millisecond
	// changeMargin is added to the time that a change of role takes before it
	// is taken for lost.
	changeMargin = 6 * time.Second
	// changeLimit bounds the wait for the lease and for an answer to the order.
	changeTimeout = 12 * time.Second
	// orderAgain is the pause before an order that was refused, or whose result
	// is unknown, is looked at again.
	orderRetryDelay = time.Second
	// changesShare of a pool's engines, and at least one, may be changing at a
	// time: they do no work meanwhile.
	enginesPerChange = 6
	// leaseIdle is how long the lease is kept without an order to give.
	leaseIdleTimeout = 3 * time.Second
	// dutyRoles names the lease of the orders.
	leaseRoles = "roles"
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
	// quietFrom is from when another holder might give an order at once.
	releaseSafeAt time.Duration
	stopped       bool

	// mu guards what is looked at right before an order.
	mu sync.Mutex
	// lease is nil while no order is due; gate guards each order.
	lease *lease.Lease
	gate  *lease.OrderGate
	// fenced is the highest fencing number that was refused.
	rejectedFence uint64
	// heldLast is the fencing number that this process held last.
	lastFence uint64

	results *metrics.CounterMap
	fence   *metrics.Gauge
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

// Close ends the duty and its workers.
func (o *orderer) Close() {
	o.duty.Close()
	o.work.Close()
}

// Release gives the lease up for good: this daemon leaves.
func (o *orderer) Release() {
	o.duty.Post(func(now time.Duration) {
		o.stopped = true
		clear(o.pools)
		o.releaseLease(now)
	})
}

// tick looks at the owned pools, and at the lease if there is one.
func (o *orderer) tick(now time.Duration) time.Duration {
	if !o.stopped {
		o.updatePools(now)
	}
	o.tickLease(now)
	return now + rolesInterval
}

func (o *orderer) updatePools(now time.Duration) {
	owned := map[id.Pool]bool{}
	for _, name := range poolNames(o.d.tables.current().Routes) {
		if o.updatePool(now, name) {
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
func (o *orderer) updatePool(now time.Duration, name id.Pool) bool {
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
	p.markDrained(demand.Prefills)
	p.markDrained(demand.Decodes)
	p.decider.Observe(now, demand)
	o.logState(now, name, p, demand)
	if n := len(demand.Prefills) + len(demand.Decodes); n != p.engines {
		p.engines = n
		p.settledAt = now + p.settleTime()
	}
	settled := now >= p.settledAt && o.d.tables.current().Lapsed == 0
	for settled && len(p.changes) < p.maxChanges() {
		c := p.decider.Decide(now, demand)
		if c == nil {
			break
		}
		o.beginChange(now, name, p, c)
		p.markDrained(demand.Prefills)
		p.markDrained(demand.Decodes)
	}
	for endpoint, c := range p.changes {
		o.advance(now, endpoint, c)
	}
	return true
}
