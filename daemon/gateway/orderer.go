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
	// rolesInterval is the interval at which the demand of the owned pools is
	// evaluated.
	rolesInterval = 500 * time.Millisecond
	// initialSettleTime is how long a pool must have had the same number of engines
	// before an order. When the fleet starts, or the store returns, endpoints
	// register over two of their heartbeats.
	initialSettleTime = 2500 * time.Millisecond
	// measuredSettleTime replaces initialSettleTime once the division into roles
	// follows measured work.
	measuredSettleTime = 400 * time.Millisecond
	// orderTimeout bounds an order together with the state query before it.
	orderTimeout = 800 * time.Millisecond
	// drainTime is how long an engine gets no new work before the order is sent. The
	// engine itself lets running work finish.
	drainTime = 400 * time.Millisecond
	// changeMargin is added to the service's switch time before a role change is
	// considered lost.
	changeMargin = 6 * time.Second
	// changeTimeout bounds the wait for the lease and for an accepted order.
	changeTimeout = 12 * time.Second
	// orderRetryDelay is the delay before an order that was refused, or whose result
	// is unknown, is retried.
	orderRetryDelay = time.Second
	// enginesPerChange bounds the concurrent role changes of a pool: one for each
	// enginesPerChange engines, and at least one. Changing engines do no work.
	enginesPerChange = 6
	// leaseIdleTimeout is how long the lease is kept without an order to send.
	leaseIdleTimeout = 3 * time.Second
	// leaseRoles is the name of the lease for role orders.
	leaseRoles = "roles"
)

// orderer orders role changes in the pools that this daemon owns. It holds the lease
// for role orders only while it has orders to send.
type orderer struct {
	d     *Daemon
	f     *fleet
	duty  *duty.Duty
	work  *workpool.Pool
	store *store.Store
	pools map[id.Pool]*poolRoles
	// calls logs the states of the pools of plain services.
	calls *callStates
	// idleSince is the last time at which an order was outstanding.
	idleSince time.Duration
	// releaseSafeAt is the time from which another holder may send orders at once,
	// since none of this daemon's orders can be in flight any more.
	releaseSafeAt time.Duration
	stopped       bool

	// mu guards the fields that a worker checks right before an order.
	mu sync.Mutex
	// lease is nil while no order is due; gate decides whether an order may be sent.
	lease *lease.Lease
	gate  *lease.OrderGate
	// rejectedFence is the highest fencing number that an engine rejected.
	rejectedFence uint64
	// lastFence is the fencing number that this process held last.
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
		calls:   newCallStates(d, f),
		results: d.metrics.CounterMap("role_orders", metrics.UnitCount, "Orders to engines to change their role, by result."),
		fence:   d.metrics.Gauge("role_lease_fence", metrics.UnitCount, "Fencing number of the lease for role orders that this daemon holds; 0 for none."),
	}
	o.duty = duty.Start(duty.Config{Name: "roles", Now: d.now, Tick: o.tick, Metrics: d.metrics, Ready: ready})
	return o
}

// Close stops the duty and its workers.
func (o *orderer) Close() {
	o.duty.Close()
	o.work.Close()
}

// Release stops all role orders and gives up the lease, since this daemon leaves.
func (o *orderer) Release() {
	o.duty.Post(func(now time.Duration) {
		o.stopped = true
		clear(o.pools)
		o.releaseLease(now)
	})
}

// tick updates the owned pools, and the lease if there is one.
func (o *orderer) tick(now time.Duration) time.Duration {
	if !o.stopped {
		o.updatePools(now)
		o.calls.log(now)
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
	o.f.owner.Store(len(owned) > 0 || o.d.ownsCallPool(o.f))
	for name := range o.pools {
		if !owned[name] {
			delete(o.pools, name)
		}
	}
	o.leaseWhileNeeded(now)
}

// updatePool decides on the role changes of one pool and advances them. It returns
// false if this daemon does not own the pool.
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
