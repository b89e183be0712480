package placement

import (
	"fmt"
	"time"
)

// advance takes an endpoint's next step towards its desired setup.
func (p *Placement) advance(now time.Duration, g *poolState, e *engine) {
	if !e.hasDesired {
		return
	}
	if e.leaving() {
		p.cancel(e, "the endpoint is leaving")
		return
	}
	if !p.stateKnown(now, e) {
		// It may come back as it was: its steps go on from there.
		return
	}
	switch e.step {
	case stepIdle:
		p.startChange(now, g, e)
	case stepDraining:
		p.continueDrain(now, e)
	case stepRequestingGrant:
		p.requestGrant(now, e)
	case stepOrdered:
		p.awaitReady(now, e)
	}
}

// start begins a change where the observed setup differs from the desired
// one: for a new wish, or to repair what somebody else's late order did.
func (p *Placement) startChange(now time.Duration, g *poolState, e *engine) {
	o := e.observed
	if o.Setup == e.desired {
		e.postponeReason = ""
		return
	}
	if now < e.retryAt {
		return
	}
	role := o.Setup.Role
	if p.warm(now, e, role) && p.warmCount(now, g, role) <= minWarm(g.pool, role) {
		p.postpone(e, fmt.Sprintf("it is one of the last %d warm %s endpoints", minWarm(g.pool, role), role))
		return
	}
	loads := !o.Setup.sameWeights(e.desired)
	if loads && p.loadsInProgress() >= p.cfg.MaxLoads {
		p.postpone(e, "as many loads run as may")
		return
	}
	e.postponeReason = ""
	e.step, e.stepSince, e.needsLoad = stepDraining, now, loads
	reason := fmt.Sprintf("it has %s and should have %s", o.Setup, e.desired)
	p.recordDecision(e, "change", reason)
	p.actions = append(p.actions, Action{Drain: &Drain{Endpoint: e.name, Pool: e.pool.Name, On: true, Reason: reason}})
}

// putOff logs once why a change waits.
func (p *Placement) postpone(e *engine, reason string) {
	if e.postponeReason != reason {
		e.postponeReason = reason
		p.recordDecision(e, "held_back", reason)
	}
}

// loads counts the endpoints that load, or are about to.
func (p *Placement) loadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		if e.step != stepIdle && e.needsLoad {
			n++
		}
	}
	return n
}

// drain waits until the endpoint is empty, seen so after the drain began.
func (p *Placement) continueDrain(now time.Duration, e *engine) {
	switch {
	case e.observed.Setup == e.desired && e.observed.Ready:
		p.endChange(e, "it has the desired setup after all")
	case e.observedAt > e.stepSince && e.observed.Busy == 0:
		p.afterDrain(now, e)
	case now-e.stepSince >= p.cfg.DrainLimit:
		e.retryAt = now + p.cfg.DrainLimit
		p.endChange(e, "it did not become empty in time; the change is put off")
	}
}

func (p *Placement) afterDrain(now time.Duration, e *engine) {
	if e.observed.Setup.sameWeights(e.desired) {
		p.sendOrder(now, e, "it is empty and needs no load")
		return
	}
	e.needsLoad = true
	e.step, e.stepSince, e.retryAt = stepRequestingGrant, now, now
	p.requestGrant(now, e)
}

// grant asks the weight store, and again when it is due.
func (p *Placement) requestGrant(now time.Duration, e *engine) {
	if now < e.retryAt {
		return
	}
	e.retryAt = now + p.cfg.GrantTimeout
	p.actions = append(p.actions, Action{Grant: &GrantRequest{Endpoint: e.name, Model: e.desired.Model}})
}

// order sends the desired setup.
func (p *Placement) sendOrder(now time.Duration, e *engine, reason string) {
	e.step = stepOrdered
	e.retryAt = now + p.cfg.OrderRepeat
	p.actions = append(p.actions, Action{Order: &Order{
		Endpoint:      e.name,
		Setup:         e.desired,
		ChecksFencing: e.config.ChecksFencing,
		Reason:        reason,
	}})
}

// await repeats the order until the endpoint is ready with it.
func (p *Placement) awaitReady(now time.Duration, e *engine) {
	if e.observed.Setup == e.desired && e.observed.Ready {
		p.endChange(e, "it is ready as desired")
		return
	}
	if now >= e.retryAt {
		p.sendOrder(now, e, "the order is not carried out yet")
	}
}

// settle ends a change and lets new work in again.
func (p *Placement) endChange(e *engine, reason string) {
	e.step, e.needsLoad = stepIdle, false
	p.recordDecision(e, "settled", reason)
	p.actions = append(p.actions, Action{Drain: &Drain{Endpoint: e.name, Pool: e.pool.Name, Reason: reason}})
}

// cancel ends a change that must not go on.
func (p *Placement) cancel(e *engine, reason string) {
	if e.step != stepIdle {
		p.endChange(e, reason)
	}
}
