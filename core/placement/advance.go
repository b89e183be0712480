package placement

import (
	"fmt"
	"time"
)

// advance takes the next step of an endpoint towards its desired setup.
func (p *Placement) advance(now time.Duration, g *poolState, e *engine) {
	if !e.hasDesired {
		return
	}
	if e.leaving() {
		p.cancel(e, "the endpoint is leaving")
		return
	}
	if !p.stateKnown(now, e) {
		// The endpoint may become reachable again unchanged; the change then
		// continues from its current step.
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

// startChange starts a change if the observed setup differs from the desired
// one: after a new decision, or to revert a late order of a former lease
// holder.
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
		p.postpone(e, fmt.Sprintf("the endpoint is one of the last %d warm %s endpoints", minWarm(g.pool, role), role))
		return
	}
	loads := !o.Setup.sameWeights(e.desired)
	if loads && p.loadsInProgress() >= p.cfg.MaxLoads {
		p.postpone(e, "as many loads run as may")
		return
	}
	e.postponeReason = ""
	e.step, e.stepSince, e.needsLoad = stepDraining, now, loads
	reason := fmt.Sprintf("the observed setup is %s, the desired one is %s", o.Setup, e.desired)
	p.recordDecision(e, "change", reason)
	p.actions = append(p.actions, Action{Drain: &Drain{Endpoint: e.name, Pool: e.pool.Name, On: true, Reason: reason}})
}

// postpone records, once per reason, why a change waits.
func (p *Placement) postpone(e *engine, reason string) {
	if e.postponeReason != reason {
		e.postponeReason = reason
		p.recordDecision(e, "held_back", reason)
	}
}

// loadsInProgress counts the endpoints whose change needs a load.
func (p *Placement) loadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		if e.step != stepIdle && e.needsLoad {
			n++
		}
	}
	return n
}

// continueDrain waits until an observation made after the start of the drain
// shows the endpoint empty.
func (p *Placement) continueDrain(now time.Duration, e *engine) {
	switch {
	case e.observed.Setup == e.desired && e.observed.Ready:
		p.endChange(e, "the endpoint already has the desired setup")
	case e.observedAt > e.stepSince && e.observed.Busy == 0:
		p.afterDrain(now, e)
	case now-e.stepSince >= p.cfg.DrainLimit:
		e.retryAt = now + p.cfg.DrainLimit
		p.endChange(e, "the endpoint was still busy at the drain limit; the change is postponed")
	}
}

func (p *Placement) afterDrain(now time.Duration, e *engine) {
	if e.observed.Setup.sameWeights(e.desired) {
		p.sendOrder(now, e, "the endpoint is empty and the change needs no load")
		return
	}
	e.needsLoad = true
	e.step, e.stepSince, e.retryAt = stepRequestingGrant, now, now
	p.requestGrant(now, e)
}

// requestGrant requests a load from the weight store, and repeats the request
// when due.
func (p *Placement) requestGrant(now time.Duration, e *engine) {
	if now < e.retryAt {
		return
	}
	e.retryAt = now + p.cfg.GrantTimeout
	p.actions = append(p.actions, Action{Grant: &GrantRequest{Endpoint: e.name, Model: e.desired.Model}})
}

// sendOrder sends the desired setup to the endpoint.
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

// awaitReady repeats the order until the endpoint is ready with the desired
// setup.
func (p *Placement) awaitReady(now time.Duration, e *engine) {
	if e.observed.Setup == e.desired && e.observed.Ready {
		p.endChange(e, "the endpoint is ready with the desired setup")
		return
	}
	if now >= e.retryAt {
		p.sendOrder(now, e, "the endpoint has not applied the order yet")
	}
}

// endChange ends a change and its drain.
func (p *Placement) endChange(e *engine, reason string) {
	e.step, e.needsLoad = stepIdle, false
	p.recordDecision(e, "settled", reason)
	p.actions = append(p.actions, Action{Drain: &Drain{Endpoint: e.name, Pool: e.pool.Name, Reason: reason}})
}

// cancel ends a change that must not continue.
func (p *Placement) cancel(e *engine, reason string) {
	if e.step != stepIdle {
		p.endChange(e, reason)
	}
}
