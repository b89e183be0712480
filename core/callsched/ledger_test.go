package callsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	ms    = time.Millisecond
	start = time.Minute
)

var daemon = id.Process{Daemon: "d1", Incarnation: 1}

// document returns the configuration of a pool of plain endpoints with two slots each, in
// two failure domains, and of two services.
func document(endpoints int, teams ...live.Team) *live.Document {
	doc := &live.Document{
		Teams: teams,
		Services: []live.Service{
			{Name: "s", Type: live.ServicePlain, Pool: "p", TimeoutMS: 2000},
			{Name: "other", Type: live.ServicePlain, Pool: "p", TimeoutMS: 2000},
		},
		Pools: []live.Pool{{Name: "p", EndpointSelector: "in=p"}},
	}
	for i := range endpoints {
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("e%d", i)), Slots: 2, Domain: id.Domain(fmt.Sprintf("domain-%d", i%2)),
			Labels: live.Labels{"in": "p", live.LabelRole: string(live.RolePlain)},
		})
	}
	return doc
}

// fixture is a ledger of services whose calls are known to take 50 ms; three calls may be in
// flight at each endpoint.
type fixture struct {
	*Ledger
	t *testing.T
	// unhealthy endpoints are not allowed.
	unhealthy map[id.Endpoint]bool
	// doubts are how surely endpoints lose calls.
	doubts map[id.Endpoint]float64
}

// Allowed implements sched.HealthView.
func (f *fixture) Allowed(e id.Endpoint) bool { return !f.unhealthy[e] }

// Doubt implements sched.HealthView.
func (f *fixture) Doubt(_ time.Duration, e id.Endpoint) float64 { return f.doubts[e] }

func newFixture(t *testing.T, doc *live.Document) *fixture {
	t.Helper()
	limiter := concurrency.NewFixed()
	f := &fixture{t: t, unhealthy: map[id.Endpoint]bool{}}
	f.Ledger = New(Options{Pool: "p", Self: daemon, Limiter: limiter, Health: f, Violation: func(name, detail string) {
		t.Errorf("%s: %s", name, detail)
	}})
	f.Configure(start-time.Second, doc)
	for _, e := range doc.Endpoints {
		limiter.Record(start, concurrency.Sample{Endpoint: e.Name, Took: 50 * ms, InFlight: 1, Outcome: concurrency.Completed})
	}
	for _, s := range f.services {
		s.pace.add(50*ms, 50*ms)
	}
	f.Tick(start)
	return f
}

func want(name string) sched.Want {
	return sched.Want{
		Request: id.Request(name), Service: "s", Pool: "p", From: daemon, Priority: 5, Attempt: 1,
		Target: 300 * ms, Patience: time.Second, Lifetime: 2 * time.Second,
	}
}

// granted returns the grant among actions that consist of it alone.
func (f *fixture) granted(actions []sched.Action) *sched.Grant {
	f.t.Helper()
	if len(actions) != 1 || actions[0].Grant == nil {
		f.t.Fatalf("no single grant: %+v", actions)
	}
	return actions[0].Grant
}

// refused returns the refusal among actions that consist of it alone.
func (f *fixture) refused(actions []sched.Action) *sched.Refusal {
	f.t.Helper()
	if len(actions) != 1 || actions[0].Refusal == nil {
		f.t.Fatalf("no single refusal: %+v", actions)
	}
	return actions[0].Refusal
}

// fill grants calls until every place is in use.
func (f *fixture) fill(now time.Duration) []*sched.Grant {
	f.t.Helper()
	var out []*sched.Grant
	for f.anyRoom() {
		out = append(out, f.granted(f.Want(now, want(fmt.Sprintf("fill-%d", len(out))))))
	}
	return out
}

// end reports that a granted call was answered.
func (f *fixture) end(now time.Duration, g *sched.Grant) []sched.Action {
	return f.Progress(now, sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseDone, ServiceTime: 50 * ms})
}

// fail reports that a granted call has failed at its endpoint.
func (f *fixture) fail(now time.Duration, g *sched.Grant, p sched.Progress) []sched.Action {
	p.Request, p.Reservation, p.Phase, p.Endpoint, p.ServiceTime = g.Request, g.Reservation, sched.PhaseFailed, g.Decode, 3*ms
	return f.Progress(now, p)
}

// TestEndpointOfTheSameDomain: while all endpoints have free slots, calls stay in the failure
// domain of their daemon; when those run out, the hop costs less than a wait.
func TestEndpointOfTheSameDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	var got []id.Endpoint
	for i := range 4 {
		w := want(fmt.Sprint(i))
		w.Domain = "domain-1"
		got = append(got, f.granted(f.Want(start, w)).Decode)
	}
	is.Equal(got, []id.Endpoint{"e1", "e1", "e0", "e0"})
}

// TestUnusableEndpoints: a call gets no endpoint that it has failed on, that is ejected,
// leaving, unreachable, or has just refused a call.
func TestUnusableEndpoints(t *testing.T) {
	for name, disturb := range map[string]func(f *fixture, w *sched.Want){
		"avoided":     func(_ *fixture, w *sched.Want) { w.Avoid = []id.Endpoint{"e0"} },
		"ejected":     func(f *fixture, _ *sched.Want) { f.unhealthy["e0"] = true },
		"unreachable": func(f *fixture, _ *sched.Want) { f.Load(start, sched.Load{Endpoint: "e0"}) },
		"drained": func(f *fixture, _ *sched.Want) {
			f.Load(start, sched.Load{Endpoint: "e0", Reachable: true, Leaving: true})
		},
		"full": func(f *fixture, _ *sched.Want) {
			f.fail(start, f.granted(f.Want(start, want("x"))), sched.Progress{Full: true})
		},
		"refuses": func(f *fixture, _ *sched.Want) {
			f.fail(start, f.granted(f.Want(start, want("x"))), sched.Progress{Leaving: true})
		},
		"no connection": func(f *fixture, _ *sched.Want) {
			f.fail(start, f.granted(f.Want(start, want("x"))), sched.Progress{Unreachable: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, document(2))
			w := want("a")
			disturb(f, &w)
			is.Equal(f.granted(f.Want(start+ms, w)).Decode, id.Endpoint("e1"))
		})
	}
}

// TestFullEndpointReturns: an endpoint that refused a call gets the waiting one once its
// hold has passed, without any event.
func TestFullEndpointReturns(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	f.fail(start, f.granted(f.Want(start, want("a"))), sched.Progress{Full: true})
	is.Equal(len(f.Want(start+ms, want("b"))), 0) // waits
	is.Equal(len(f.Tick(start+fullHold-ms)), 0)
	is.Equal(f.granted(f.Tick(start+fullHold)).Request, id.Request("b"))
}

// TestOneDaemonIsCutOff: one daemon doesn't reach an endpoint, others do. Once a report shows
// that, the endpoint serves their calls again.
func TestOneDaemonIsCutOff(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	f.fail(start, f.granted(f.Want(start, want("cut"))), sched.Progress{Unreachable: true})
	is.Equal(len(f.Want(start+ms, want("b"))), 0) // waits
	is.Equal(f.granted(f.Load(start+5*ms, sched.Load{Endpoint: "e0", Reachable: true})).Request, id.Request("b"))
}

// TestNoEndpoint: with all endpoints gone, calls are refused at once, the waiting ones as
// well; the caller may come back.
func TestNoEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	f.fill(start)
	f.Want(start, want("waits"))
	is.Equal(f.refused(f.Load(start+ms, sched.Load{Endpoint: "e0"})).Code, verdict.CodeNoEndpoint)
	refusal := f.refused(f.Want(start+2*ms, want("b")))
	is.Equal(refusal.Code, verdict.CodeNoEndpoint)
	is.True(refusal.RetryAfter > 0)
}

// TestWithdrawnAndDead: callers leave and a daemon dies; what they held is free again.
func TestWithdrawnAndDead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	f.fill(start)
	other := want("other")
	other.From = id.Process{Daemon: "d2", Incarnation: 1}
	f.Want(start, other)
	f.Want(start, want("waits"))
	is.Equal(f.Snapshot().Queued, 2)
	is.Equal(f.granted(f.Withdraw(start+ms, "fill-0")).Request, id.Request("other"))
	f.Withdraw(start+ms, "waits")
	f.ProcessGone(start+2*ms, daemon)
	is.Equal(f.Snapshot().Queued, 0)
	is.Equal(f.Snapshot().Held, 1)
	f.ProcessGone(start+3*ms, other.From)
	is.Equal(f.Snapshot().Held, 0)
}

// TestRestartedEndpointHoldsNothing: the end of a call at an endpoint that was replaced frees
// nothing at its successor.
func TestRestartedEndpointHoldsNothing(t *testing.T) {
	is := is.New(t)
	doc := document(1)
	f := newFixture(t, doc)
	old := f.fill(start)
	restarted := document(1)
	restarted.Endpoints[0].Name = "e0-again"
	f.Configure(start+ms, restarted)
	is.Equal(f.Snapshot().Held, 0)
	f.fail(start+2*ms, old[0], sched.Progress{Crashed: true})
	is.Equal(f.granted(f.Want(start+3*ms, want("b"))).Decode, id.Endpoint("e0-again"))
	is.Equal(f.Snapshot().Held, 1)
}
