package placement

import (
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

// leaving reports whether the endpoint is leaving and must not be changed.
func (e *engine) leaving() bool { return live.IsLeaving(e.config) || e.observed.Leaving }

// stateKnown reports whether the endpoint is reachable and its last observation
// recent enough to act on.
func (p *Placement) stateKnown(now time.Duration, e *engine) bool {
	return e.everObserved && e.observed.Reachable && now-e.observedAt <= p.cfg.Fresh
}

// warm reports whether the endpoint serves its pool's model in a role and no
// change is under way.
func (p *Placement) warm(now time.Duration, e *engine, role live.Role) bool {
	return p.stateKnown(now, e) && !e.leaving() && e.step == stepIdle &&
		e.observed.Ready && e.observed.Setup.Role == role && e.observed.Setup.Model == e.pool.Model
}

func (p *Placement) warmCount(now time.Duration, g *poolState, role live.Role) int {
	n := 0
	for _, e := range g.members {
		if p.warm(now, e, role) {
			n++
		}
	}
	return n
}

// minWarm returns the number of warm endpoints of a role that must remain; at
// least one.
func minWarm(pool *live.Pool, role live.Role) int {
	if role == live.RolePrefill {
		return max(1, pool.MinPrefill)
	}
	return max(1, pool.MinDecode)
}

// setDesired updates the desired setup of each endpoint of a pool.
func (p *Placement) setDesired(now time.Duration, g *poolState) {
	for _, e := range g.members {
		if e.leaving() || !e.everObserved {
			continue
		}
		role := p.decideRole(g, e)
		setup := desiredSetup(g.pool, e.config, role)
		if e.hasDesired && setup == e.desired {
			continue
		}
		before := e.desired
		first := !e.hasDesired
		e.desired, e.hasDesired = setup, true
		if !first {
			p.recordDecision(e, "desired", fmt.Sprintf("from %s to %s", before, setup))
		}
	}
}

// desiredSetup returns the setup that a pool requires of an endpoint: the
// pool's fields, overridden by the pool's labels, overridden by the endpoint's
// labels.
func desiredSetup(pool *live.Pool, e *live.Endpoint, role live.Role) Setup {
	setup := Setup{Model: pool.Model, Adapter: pool.Adapter, Version: pool.Version, Role: role}
	for _, labels := range []live.Labels{pool.Labels, e.Labels} {
		overrideIfSet(&setup.Model, labels[live.LabelModel])
		overrideIfSet(&setup.Adapter, labels[live.LabelAdapter])
		overrideIfSet(&setup.Version, labels[live.LabelVersion])
	}
	return setup
}

func overrideIfSet(field *string, label string) {
	if label != "" {
		*field = label
	}
}

// decideRole keeps the current role unless a label requires another one: a
// label that has changed, or any label in a pool of fixed roles.
func (p *Placement) decideRole(g *poolState, e *engine) live.Role {
	label := e.config.Labels[live.LabelRole]
	relabelled := e.hasDesired && label != e.roleLabel && label != ""
	first := !e.hasDesired
	e.roleLabel = label
	if label != "" && (g.pool.FixedRoles || relabelled) {
		return live.Role(label)
	}
	if !first {
		return e.desired.Role
	}
	if r := e.observed.Setup.Role; e.observed.Ready && (r == live.RolePrefill || r == live.RoleDecode) {
		return r
	}
	if label != "" {
		return live.Role(label)
	}
	return initialRole(g)
}

// initialRole returns the role for a new endpoint: the one that the pool lacks
// most.
func initialRole(g *poolState) live.Role {
	prefill, decode := 0, 0
	for _, e := range g.members {
		switch {
		case !e.hasDesired || e.leaving():
		case e.desired.Role == live.RolePrefill:
			prefill++
		default:
			decode++
		}
	}
	lackPrefill := minWarm(g.pool, live.RolePrefill) - prefill
	lackDecode := minWarm(g.pool, live.RoleDecode) - decode
	if lackPrefill > lackDecode || (lackPrefill == lackDecode && prefill < decode) {
		return live.RolePrefill
	}
	return live.RoleDecode
}

// String returns the form used in reasons: model/adapter/version/role.
func (s Setup) String() string {
	return fmt.Sprintf("%s/%s/%s/%s", s.Model, s.Adapter, s.Version, s.Role)
}

// rebalance moves at most one endpoint of a pool to the role that is short,
// once the shortage has lasted for Sustain.
func (p *Placement) rebalance(now time.Duration, g *poolState) {
	wish := p.roleInDemand(g)
	if wish != g.shortRole {
		g.shortRole, g.shortSince = wish, now
	}
	if wish == "" || now-g.shortSince < p.cfg.Sustain || (g.everMoved && now-g.lastMoveAt < p.cfg.MinDwell) {
		return
	}
	e := p.chooseDonor(now, g, otherRole(wish))
	if e == nil {
		return
	}
	e.desired.Role = wish
	e.roleChangedAt, e.roleChanged = now, true
	g.lastMoveAt, g.everMoved = now, true
	g.shortSince = now
	p.recordDecision(e, "role", fmt.Sprintf("to %s: prefill utilisation %.2f, decode utilisation %.2f for %s", wish, g.demand.Prefill, g.demand.Decode, p.cfg.Sustain))
}

// roleInDemand returns the role that is short according to demand; empty for
// none.
func (p *Placement) roleInDemand(g *poolState) live.Role {
	if !g.demandKnown || g.pool.FixedRoles {
		return ""
	}
	switch d := g.demand; {
	case d.Prefill >= p.cfg.High && d.Decode <= p.cfg.Low:
		return live.RolePrefill
	case d.Decode >= p.cfg.High && d.Prefill <= p.cfg.Low:
		return live.RoleDecode
	default:
		return ""
	}
}

func otherRole(r live.Role) live.Role {
	if r == live.RolePrefill {
		return live.RoleDecode
	}
	return live.RolePrefill
}

// chooseDonor returns the least busy warm endpoint of a role that may change
// its role; nil if there is none.
func (p *Placement) chooseDonor(now time.Duration, g *poolState, role live.Role) *engine {
	if p.changing(g) || p.warmCount(now, g, role) <= minWarm(g.pool, role) {
		return nil
	}
	var best *engine
	for _, e := range g.members {
		dwelt := !e.roleChanged || now-e.roleChangedAt >= p.cfg.MinDwell
		if !dwelt || !p.warm(now, e, role) || e.desired != e.observed.Setup {
			continue
		}
		if best == nil || e.observed.Busy < best.observed.Busy {
			best = e
		}
	}
	return best
}

// changing reports whether a change is under way on an endpoint of the pool.
func (p *Placement) changing(g *poolState) bool {
	for _, e := range g.members {
		if e.step != stepIdle {
			return true
		}
	}
	return false
}
