package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
)

// callRig is the Manager of a plain service's pool, whose daemons report only the ends of
// calls.
type callRig struct {
	*Manager
	is  *is.I
	now time.Duration
	n   int
	// lifetime is the calls' own.
	lifetime time.Duration
	changes  []health.Change
}

func newCallRig(t *testing.T, endpoints int) *callRig {
	r := &callRig{is: is.New(t), now: time.Second, lifetime: 3 * time.Second}
	doc := &live.Document{
		Pools:    []live.Pool{{Name: testPool, EndpointSelector: "pool=packets"}},
		Services: []live.Service{{Name: "s", Type: live.ServicePlain, Pool: testPool}},
	}
	for i := range endpoints {
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("e%d", i)), Slots: 2,
			Labels: live.Labels{"pool": "packets", live.LabelRole: string(live.RolePlain)},
		})
	}
	r.Manager = New(Options{
		Pool: testPool, Calls: true,
		Health: health.Config{StuckAfter: time.Second, EjectMin: time.Second, HalfLife: 2 * time.Second},
		Poison: poison.New(poison.Config{}),
		NewScheduler: func(view sched.HealthView) sched.Scheduler {
			return callsched.New(callsched.Options{
				Pool: testPool, Health: view, Violation: func(name, detail string) { t.Errorf("%s: %s", name, detail) },
			})
		},
		Events: Events{Health: func(c health.Change) { r.changes = append(r.changes, c) }},
	})
	r.Configure(r.now, doc)
	r.now += time.Second
	r.Tick(r.now)
	return r
}

// grant sends a call's Want and returns its grant.
func (r *callRig) grant() *sched.Grant {
	r.is.Helper()
	g := r.ask()
	r.is.True(g != nil)
	return g
}

// ask sends a call's Want and returns its grant; nil if it is not granted at once, and then
// withdraws it.
func (r *callRig) ask() *sched.Grant {
	r.n++
	w := sched.Want{
		Request: id.Request(fmt.Sprint(r.n)), Team: "t", Service: "s", Pool: testPool, From: id.Process{Daemon: "d", Incarnation: 1},
		Target: 200 * ms, Patience: time.Second, Lifetime: r.lifetime, AnswerIn: 50 * ms,
	}
	actions := r.Want(r.now, w)
	if len(actions) == 1 && actions[0].Grant != nil {
		return actions[0].Grant
	}
	r.Withdraw(r.now, w.Request)
	return nil
}

func (r *callRig) end(g *sched.Grant, p sched.Progress) {
	p.Request, p.Reservation = g.Request, g.Reservation
	r.Progress(r.now, p)
}

// TestAnEndpointThatTimesOutCallsIsEjected checks a frozen endpoint of a plain service, and
// that nothing stays tracked of its calls.
func TestAnEndpointThatTimesOutCallsIsEjected(t *testing.T) {
	r := newCallRig(t, 3)
	for range 400 {
		r.now += 10 * ms
		r.Tick(r.now)
		// All slots are used, so that the slow endpoint gets calls too.
		var grants []*sched.Grant
		for g := r.ask(); g != nil; g = r.ask() {
			grants = append(grants, g)
		}
		for _, g := range grants {
			if g.Decode == "e1" {
				r.end(g, sched.Progress{Phase: sched.PhaseFailed, Endpoint: "e1", TimedOut: true, ServiceTime: 200 * ms})
				continue
			}
			r.end(g, sched.Progress{Phase: sched.PhaseDone, ServiceTime: 20 * ms})
		}
	}
	r.is.True(len(r.changes) > 0)
	for _, c := range r.changes {
		r.is.Equal(c.Endpoint, id.Endpoint("e1"))
	}
	r.is.Equal(r.changes[0].Reason, health.ReasonErrors)
	r.is.Equal(r.Status(r.now).Tracked, 0)
	r.is.Equal(r.Status(r.now).Working, 0)
}

// TestAnEndpointWithoutAnswersIsEjectedBeforeItsCallsEnd checks that the calls that were
// granted to a frozen endpoint count although nothing is reported of them.
func TestAnEndpointWithoutAnswersIsEjectedBeforeItsCallsEnd(t *testing.T) {
	r := newCallRig(t, 3)
	held := 0
	for range 400 {
		r.now += 10 * ms
		r.Tick(r.now)
		for _, g := range []*sched.Grant{r.grant(), r.grant(), r.grant()} {
			if g.Decode == "e1" {
				held++
				continue // its slots stay taken
			}
			r.end(g, sched.Progress{Phase: sched.PhaseDone, ServiceTime: 20 * ms})
		}
		if len(r.changes) > 0 {
			break
		}
	}
	r.is.True(held > 0)
	r.is.True(len(r.changes) > 0)
	r.is.Equal(r.changes[0].Endpoint, id.Endpoint("e1"))
	r.is.Equal(r.changes[0].Reason, health.ReasonStuck)
}

// TestAnEndThatIsLostDoesNotMakeItsEndpointSeemStuck checks a call whose end is not
// reported, at an endpoint that then has no other calls.
func TestAnEndThatIsLostDoesNotMakeItsEndpointSeemStuck(t *testing.T) {
	r := newCallRig(t, 3)
	r.lifetime = 800 * ms
	r.grant()
	for range 100 {
		r.now += 100 * ms
		r.Tick(r.now)
	}
	r.is.Equal(len(r.changes), 0)
	r.is.Equal(r.Status(r.now).Tracked, 0)
}

// TestARefusedCallIsNotTracked checks a call that is refused after it waited.
func TestARefusedCallIsNotTracked(t *testing.T) {
	r := newCallRig(t, 1)
	for range 200 {
		r.n++
		r.Want(r.now, sched.Want{
			Request: id.Request(fmt.Sprint(r.n)), Team: "t", Service: "s", Pool: testPool, From: id.Process{Daemon: "d", Incarnation: 1},
			Target: 200 * ms, Patience: 300 * ms, Lifetime: 300 * ms,
		})
	}
	for range 10 {
		r.now += 100 * ms
		r.Tick(r.now)
	}
	r.is.Equal(r.Status(r.now).Tracked, 0)
}

// TestAnEndpointThatOneDaemonMissedServesAgain checks a connection of one daemon that fails,
// at an endpoint of which no report comes: its service has no health path, or the owner does
// not reach it. Calls are tried there again after a moment, one at a time until one ends.
func TestAnEndpointThatOneDaemonMissedServesAgain(t *testing.T) {
	r := newCallRig(t, 1)
	r.end(r.grant(), sched.Progress{Phase: sched.PhaseDone, ServiceTime: 20 * ms})
	r.end(r.grant(), sched.Progress{Phase: sched.PhaseFailed, Endpoint: "e0", Unreachable: true, ServiceTime: 3 * ms})
	r.is.True(r.ask() == nil)
	r.now += time.Second
	r.Tick(r.now)
	tried := r.grant()
	r.is.True(r.ask() == nil)
	r.end(tried, sched.Progress{Phase: sched.PhaseDone, ServiceTime: 20 * ms})
	r.grant()
	r.grant()
}
