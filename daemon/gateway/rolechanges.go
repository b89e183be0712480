package gateway

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/roles"
	"github.com/samphirequay/samphirequay/core/sched"
)

// poolRoles tracks one pool's division into roles and its pending role changes.
type poolRoles struct {
	decider *roles.Decider
	changes map[id.Endpoint]*change
	// engines is the number of engines at the last update; settledAt is when that
	// number counts as settled.
	engines   int
	settledAt time.Duration
	// loggedAt is when the pool's state was last logged.
	loggedAt time.Duration
	// attempts and repeatedWants are the scheduler's counters as last logged.
	attempts      uint64
	repeatedWants uint64
}

// change is a pending role change of one engine.
type change struct {
	pool      id.Pool
	to        live.Role
	startedAt time.Duration
	// draining is set once the engine gets no new work, since drainedAt.
	draining  bool
	drainedAt time.Duration
	// ordered is set once the engine has accepted the order, at orderedAt.
	ordered   bool
	orderedAt time.Duration
	// pending is set while a state query or an order is in flight.
	pending bool
	// retryAt is when the next attempt may be made.
	retryAt time.Duration
}

// maxChanges bounds the pending changes. Before work was measured, all engines may
// change at once, since no work is lost.
func (p *poolRoles) maxChanges() int {
	if !p.decider.Measured() {
		return max(1, p.engines)
	}
	return max(1, p.engines/enginesPerChange)
}

// settleTime is how long a pool must have the same number of engines before an order.
// It is shorter once the division follows measured work: a pool that loses engines
// one after the other must not wait until the last one is lost.
func (p *poolRoles) settleTime() time.Duration {
	if p.decider.Measured() {
		return measuredSettleTime
	}
	return initialSettleTime
}

// stateLogInterval is the interval at which the state of an owned pool is logged.
const stateLogInterval = time.Second

// logState logs the state of an owned pool that has work, so that an engineer on call
// can distinguish a full pool from one that has lost its engines.
func (o *orderer) logState(now time.Duration, name id.Pool, p *poolRoles, d sched.Demand) {
	if now < p.loggedAt+stateLogInterval || d.Queued+d.MemoryHeld == 0 {
		return
	}
	p.loggedAt = now
	working := 0
	for _, e := range d.Prefills {
		if e.Requests > 0 {
			working++
		}
	}
	running := 0
	for _, e := range d.Decodes {
		running += e.Requests
	}
	o.d.logger.Event("pool_state", "pool", name, "prefills", len(d.Prefills), "prefills_working", working,
		"prefill_backlog", d.PrefillBacklog, "decodes", len(d.Decodes), "decodes_running", running,
		"memory", d.Memory, "memory_held", d.MemoryHeld, "queued", d.Queued, "memory_wanted", d.MemoryWanted,
		"engines_tried", d.Attempts-p.attempts, "wants_repeated", d.RepeatedWants-p.repeatedWants)
	p.attempts, p.repeatedWants = d.Attempts, d.RepeatedWants
}

// markDrained marks the engines that are about to change their role as drained.
func (p *poolRoles) markDrained(engines []sched.EngineDemand) {
	for i := range engines {
		if p.changes[engines[i].Endpoint] != nil {
			engines[i].Drained = true
		}
	}
}

func (o *orderer) beginChange(now time.Duration, pool id.Pool, p *poolRoles, c *roles.Change) {
	p.decider.Changed(now)
	p.changes[c.Endpoint] = &change{pool: pool, to: c.To, startedAt: now}
	o.d.logger.Event("role_change_begun", "pool", pool, "endpoint", c.Endpoint, "to", c.To,
		"wanted_prefills", c.TargetPrefills, "prefills", c.Prefills, "decodes", c.Decodes)
}

// endChanges removes the changes that are done or timed out, or whose engine is gone.
func (o *orderer) endChanges(now time.Duration, p *poolRoles) {
	view := o.d.tables.current()
	for endpoint, c := range p.changes {
		e, known := view.Endpoints[endpoint]
		why := ""
		switch {
		case !known:
			why = "the engine is gone"
		case e.Role == c.to:
			why = "done"
		case c.ordered && now-c.orderedAt >= o.switchTime(e.Service)+changeMargin:
			why = "the role change was not observed in time"
		case !c.ordered && now-c.startedAt >= changeTimeout:
			why = "no order could be sent in time"
		default:
			continue
		}
		delete(p.changes, endpoint)
		o.f.broker.Drain(c.pool, endpoint, false)
		o.d.logger.Event("role_change_ended", "endpoint", endpoint, "to", c.to, "why", why, "took", now-c.startedAt)
	}
}

func (o *orderer) switchTime(service id.Service) time.Duration {
	if s := o.d.tables.current().Routes.Service(service); s != nil && s.Engine != nil {
		return s.Engine.SwitchTime
	}
	return 0
}

// advance takes the next step of a change. The engine continues to get work until the
// lease allows an order.
func (o *orderer) advance(now time.Duration, endpoint id.Endpoint, c *change) {
	open := o.gateState(now, endpoint) >= lease.ReadBack
	if !c.draining && open {
		c.draining = true
		c.drainedAt = now
	}
	if !c.draining {
		return
	}
	o.f.broker.Drain(c.pool, endpoint, true)
	if !open || c.ordered || c.pending || now < c.retryAt || now-c.drainedAt < drainTime {
		return
	}
	c.pending = true
	o.releaseSafeAt = now + orderTimeout + o.maxOrderDelay()
	sent := o.work.Submit(func() { o.runOrder(endpoint, c) })
	if !sent {
		c.pending = false
	}
}
