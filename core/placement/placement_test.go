package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

const tickInterval = 500 * time.Millisecond

// simulation is a pool of simulated engines that apply orders, with the
// placement under test.
type simulation struct {
	is        *is.I
	now       time.Duration
	rng       *rand.Rand
	doc       *live.Document
	engines   map[id.Endpoint]*Observation
	readyAt   map[id.Endpoint]time.Duration
	drained   map[id.Endpoint]bool
	placement *Placement
	// refuseGrants makes the weight store refuse; loading and maxLoading count
	// concurrent loads.
	refuseGrants        bool
	loading, maxLoading int
	orders              int
	decisions           []Decision
}

func newSimulation(t *testing.T, prefill, decode int) *simulation {
	s := &simulation{
		is: is.New(t), rng: rand.New(rand.NewPCG(1, 1)), placement: New(DefaultConfig()),
		engines: map[id.Endpoint]*Observation{}, readyAt: map[id.Endpoint]time.Duration{}, drained: map[id.Endpoint]bool{},
		doc: &live.Document{Pools: []live.Pool{{Name: "p", EndpointSelector: "kind=engine", Model: "m", Version: "1"}}},
	}
	for i := range prefill + decode {
		role := live.RoleDecode
		if i < prefill {
			role = live.RolePrefill
		}
		name := id.Endpoint(fmt.Sprintf("e%02d", i))
		s.doc.Endpoints = append(s.doc.Endpoints, live.Endpoint{Name: name, Labels: live.Labels{"kind": "engine"}, Domain: "d", Address: "10.0.0.1:1"})
		s.engines[name] = &Observation{Endpoint: name, Setup: Setup{Model: "m", Version: "1", Role: role}, Ready: true, Reachable: true}
	}
	s.configure(func(*live.Document) {})
	return s
}

func (s *simulation) configure(change func(*live.Document)) {
	s.doc = live.Clone(s.doc)
	change(s.doc)
	s.doc = live.Normalize(s.doc)
	s.apply(s.placement.Configure(s.now, live.NewIndex(s.doc)))
}

func (s *simulation) apply(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Decision != nil:
			s.decisions = append(s.decisions, *a.Decision)
		case a.Drain != nil:
			s.drained[a.Drain.Endpoint] = a.Drain.On
		case a.Grant != nil:
			s.apply(s.placement.Granted(s.now, a.Grant.Endpoint, !s.refuseGrants, time.Second))
		case a.Order != nil:
			s.applyOrder(*a.Order)
		}
	}
}

func (s *simulation) applyOrder(o Order) {
	s.orders++
	e := s.engines[o.Endpoint]
	s.is.Equal(e.Busy, 0) // no order reaches an engine with running requests
	if e.Setup == o.Setup {
		return
	}
	s.readyAt[o.Endpoint] = s.now + time.Second
	if !e.Setup.sameWeights(o.Setup) {
		s.readyAt[o.Endpoint] = s.now + 10*time.Second
	}
	e.Setup, e.Ready = o.Setup, false
}

// run advances time; engines that take new work have a random number of
// requests.
func (s *simulation) run(d time.Duration, always func()) {
	for end := s.now + d; s.now < end; s.now += tickInterval {
		s.loading = 0
		for i := range s.doc.Endpoints {
			e := s.engines[s.doc.Endpoints[i].Name]
			if !e.Ready && s.now >= s.readyAt[e.Endpoint] {
				e.Ready = true
			}
			if !e.Ready {
				s.loading++
			}
			s.updateBusy(e)
			s.placement.Observe(s.now, *e)
		}
		s.maxLoading = max(s.maxLoading, s.loading)
		s.apply(s.placement.Tick(s.now))
		if always != nil {
			always()
		}
	}
}

func (s *simulation) updateBusy(e *Observation) {
	switch {
	case !e.Ready:
	case s.drained[e.Endpoint]:
		e.Busy = max(0, e.Busy-1)
	default:
		e.Busy = s.rng.IntN(4)
	}
}

// warm counts the engines that take work in a role.
func (s *simulation) warm(role live.Role) int {
	n := 0
	for name, e := range s.engines {
		if e.Ready && !s.drained[name] && e.Setup.Role == role && e.Setup.Model == "m" {
			n++
		}
	}
	return n
}

func (s *simulation) decisionCount(event string) int {
	n := 0
	for _, d := range s.decisions {
		if d.Event == event {
			n++
		}
	}
	return n
}

func TestNewLeaseHolderKeepsObservedSetups(t *testing.T) {
	s := newSimulation(t, 3, 5)
	s.run(time.Minute, nil)
	s.is.Equal(s.orders, 0)
	s.is.Equal(len(s.placement.Draining()), 0)
}

func TestVersionRolloutKeepsWarmReplicas(t *testing.T) {
	s := newSimulation(t, 2, 4)
	s.run(5*time.Second, nil)
	s.configure(func(d *live.Document) { d.Pools[0].Version = "2" })
	s.run(10*time.Minute, func() {
		s.is.True(s.warm(live.RolePrefill) >= 1)
		s.is.True(s.warm(live.RoleDecode) >= 1)
	})
	for _, e := range s.engines {
		s.is.Equal(e.Setup.Version, "2")
		s.is.True(e.Ready)
	}
	s.is.True(s.maxLoading <= DefaultConfig().MaxLoads) // the weight store's limit
	s.is.Equal(s.warm(live.RolePrefill), 2)
}

func TestLastWarmReplicaIsNeverChanged(t *testing.T) {
	s := newSimulation(t, 1, 1)
	s.run(5*time.Second, nil)
	s.configure(func(d *live.Document) { d.Pools[0].Version = "2" })
	s.run(5*time.Minute, nil)
	s.is.Equal(s.orders, 0)
	s.is.Equal(s.decisionCount("held_back"), 2) // once for each endpoint, not on each tick
}

func TestDemandChangesRolesWithHysteresis(t *testing.T) {
	s := newSimulation(t, 2, 4)
	demand := func(prefill, decode float64) func() {
		return func() { s.placement.Demand(s.now, Demand{Pool: "p", Prefill: prefill, Decode: decode}) }
	}
	s.run(10*time.Second, demand(0.95, 0.3)) // shorter than Sustain
	s.is.Equal(s.decisionCount("role"), 0)
	s.run(time.Minute, demand(0.95, 0.6)) // decode utilisation is above Low
	s.is.Equal(s.decisionCount("role"), 0)
	s.run(time.Minute, demand(0.95, 0.3))
	s.is.Equal(s.warm(live.RolePrefill), 3)
	s.is.Equal(s.warm(live.RoleDecode), 3)
	for range 20 { // demand that alternates every ten seconds changes no role
		s.run(10*time.Second, demand(0.95, 0.3))
		s.run(10*time.Second, demand(0.3, 0.95))
	}
	s.is.Equal(s.decisionCount("role"), 1)
	s.run(30*time.Minute, demand(0.95, 0.3))
	s.is.Equal(s.warm(live.RoleDecode), 1) // down to the minimum
	fixed := newSimulation(t, 2, 4)
	fixed.configure(func(d *live.Document) { d.Pools[0].FixedRoles = true })
	fixed.run(10*time.Minute, func() { fixed.placement.Demand(fixed.now, Demand{Pool: "p", Prefill: 1, Decode: 0}) })
	fixed.is.Equal(fixed.orders, 0)
}

func TestLateOrderOfFormerLeaseHolderIsReverted(t *testing.T) {
	s := newSimulation(t, 2, 3)
	s.run(5*time.Second, nil)
	s.engines["e03"].Setup = Setup{Model: "old", Role: live.RolePrefill}
	s.run(2*time.Minute, nil)
	s.is.Equal(s.engines["e03"].Setup, Setup{Model: "m", Version: "1", Role: live.RoleDecode})
	s.is.Equal(s.decisionCount("change"), 1) // one change reverts the order
	s.is.Equal(s.decisionCount("settled"), 1)
}

func TestLeavingAndBusyEndpointsAreNotChanged(t *testing.T) {
	s := newSimulation(t, 2, 3)
	s.run(5*time.Second, nil)
	s.configure(func(d *live.Document) {
		d.Pools[0].Version = "2"
		d.Endpoints[4].Labels[live.LabelLeaving] = "true"
	})
	s.run(5*time.Minute, func() { s.engines["e03"].Busy = 2 }) // e03 never becomes empty
	s.is.Equal(s.engines["e04"].Setup.Version, "1")
	s.is.Equal(s.engines["e03"].Setup.Version, "1")
	s.is.True(s.decisionCount("settled") > 0)
}

func TestRefusedGrantIsRetriedAndLabelsOverride(t *testing.T) {
	s := newSimulation(t, 2, 3)
	s.run(5*time.Second, nil)
	s.refuseGrants = true
	s.configure(func(d *live.Document) { d.Endpoints[4].Labels[live.LabelModel] = "canary" })
	s.run(time.Minute, nil)
	s.is.Equal(s.orders, 0)
	s.refuseGrants = false
	s.run(time.Minute, nil)
	s.is.Equal(s.engines["e04"].Setup.Model, "canary")
	s.configure(func(d *live.Document) { d.Endpoints[2].Labels[live.LabelRole] = string(live.RolePrefill) })
	s.run(time.Minute, nil)
	s.is.Equal(s.engines["e02"].Setup.Role, live.RolePrefill) // a changed role label overrides the current role
	want, ok := s.placement.Desired("e02")
	s.is.True(ok)
	s.is.Equal(want.Role, live.RolePrefill)
}
