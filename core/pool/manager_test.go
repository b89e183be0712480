package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	ms       = time.Millisecond
	testPool = id.Pool("packets")
)

// rig is a Manager with two engines of each role, and what it told.
type rig struct {
	*Manager
	is      *is.I
	doc     *live.Document
	now     time.Duration
	crashes []poison.CrashID
	running []int
	probes  []id.Endpoint
}

func newRig(t *testing.T, engines int) *rig {
	r := &rig{is: is.New(t), doc: &live.Document{Revision: 1}, now: time.Second}
	r.doc.Teams = []live.Team{{Name: "t"}}
	r.doc.Pools = []live.Pool{{Name: testPool, EndpointSelector: "pool=packets"}}
	r.doc.Services = []live.Service{{Name: "s", Type: live.ServiceModel, Pool: testPool, PatienceMS: 1000}}
	for i := range 2 * engines {
		role := []live.Role{live.RolePrefill, live.RoleDecode}[i%2]
		r.doc.Endpoints = append(r.doc.Endpoints, live.Endpoint{
			Name:   id.Endpoint(fmt.Sprintf("%s-%d", role, i/2)),
			Labels: live.Labels{"pool": "packets", live.LabelRole: string(role)},
			Slots:  2,
		})
	}
	r.doc = live.Normalize(r.doc)
	r.Manager = New(Options{
		Pool:   testPool,
		Poison: poison.New(poison.Config{}),
		Epoch:  time.Unix(1_000_000, 0),
		NewScheduler: func(view sched.HealthView) sched.Scheduler {
			return sched.NewLedger(sched.Options{
				Pool: testPool, Health: view, Settle: 1,
				Violation: func(name, detail string) { t.Errorf("%s: %s", name, detail) },
			})
		},
		Events: Events{
			Crash: func(c poison.CrashID, running int) {
				r.crashes = append(r.crashes, c)
				r.running = append(r.running, running)
			},
			Probe: func(e id.Endpoint) { r.probes = append(r.probes, e) },
		},
	})
	r.Configure(r.now, r.doc)
	for _, e := range r.doc.Endpoints {
		r.report(e.Name, 1)
	}
	return r
}

// report tells of an endpoint that is well.
func (r *rig) report(e id.Endpoint, incarnation id.Incarnation) []sched.Action {
	r.now += ms
	return r.Load(r.now, sched.Load{Endpoint: e, Incarnation: incarnation, Slots: 2, Reachable: true})
}

func content(name string) poison.Fingerprint { return poison.Print("t", "s", []byte(name)) }

// ask sends a Want and returns what it is answered within 100 ms; nil if it
// waits.
func (r *rig) ask(request id.Request, name string) *sched.Action {
	w := sched.Want{
		Request: request, Team: "t", Service: "s", Pool: testPool, PromptTokens: 100, OutputTokens: 5,
		From: id.Process{Daemon: "d", Incarnation: 1}, Fingerprint: content(name).String(),
	}
	actions := r.Want(r.now, w)
	for range 100 {
		if len(actions) > 0 {
			return &actions[0]
		}
		r.now += ms
		actions = r.Tick(r.now)
	}
	return nil
}

// notServed expects that a request waits, or that no endpoint may serve it.
func (r *rig) expectNotServed(request id.Request) {
	r.is.Helper()
	a := r.ask(request, "one")
	r.is.True(a == nil || (a.Refusal != nil && a.Refusal.Code == verdict.CodeNoEndpoint))
}

// begin asks, expects a grant and reports the prefill's order.
func (r *rig) startPrefill(request id.Request, name string) *sched.Grant {
	r.is.Helper()
	a := r.ask(request, name)
	r.is.True(a != nil && a.Grant != nil)
	r.progress(a.Grant, sched.Progress{Phase: sched.PhasePrefilling})
	return a.Grant
}

func (r *rig) progress(g *sched.Grant, p sched.Progress) {
	p.Request = g.Request
	p.Reservation = g.Reservation
	r.Progress(r.now, p)
}

// crash lets a request's prefill end with a broken connection.
func (r *rig) crash(g *sched.Grant) {
	r.progress(g, sched.Progress{Phase: sched.PhaseFailed, Endpoint: g.Prefill, Crashed: true})
}

// convict has an endpoint crash three times under a request that runs alone.
func (r *rig) quarantine(name string) {
	r.is.Helper()
	for i := range 3 {
		g := r.startPrefill(id.Request(fmt.Sprint(name, i)), name)
		r.crash(g)
		r.report(g.Prefill, r.endpoint(g.Prefill).incarnation+1)
		r.now += 10 * time.Minute / 3 // settled, and the endpoint is let in again
		r.Tick(r.now)
		if a := r.ask(id.Request(fmt.Sprint(name, i, "?")), name); a != nil && a.Refusal != nil {
			r.is.Equal(a.Refusal.Code, verdict.CodeQuarantined)
			return
		}
		r.Withdraw(r.now, id.Request(fmt.Sprint(name, i, "?")))
	}
	r.is.Fail()
}

func TestHigherIncarnationIsACrashOfAllThatRan(t *testing.T) {
	r := newRig(t, 1)
	a := r.startPrefill("a", "one")
	b := r.startPrefill("b", "two")
	r.is.Equal(a.Prefill, b.Prefill)
	r.crash(a) // a's connection broke, b's has not yet
	r.is.Equal(r.probes, []id.Endpoint{a.Prefill})
	r.report(a.Prefill, 2)
	r.is.Equal(r.crashes, []poison.CrashID{{Endpoint: a.Prefill, Incarnation: 1}})
	r.is.Equal(r.running, []int{2})
	for _, name := range []string{"one", "two"} {
		finding := r.opts.Poison.Check(r.wall(r.now), content(name))
		r.is.Equal(finding.Standing, poison.Suspected)
	}
	r.is.Equal(r.opts.Poison.Check(r.wall(r.now), content("three")).Standing, poison.Clear)
	r.report(a.Prefill, 1) // a late report of the former process
	r.is.Equal(len(r.crashes), 1)
}

func TestSameIncarnationRefutesACrash(t *testing.T) {
	r := newRig(t, 2)
	r.crash(r.startPrefill("a", "one"))
	r.is.Equal(r.countUnconfirmed(r.now, content("one")), 1)
	for _, e := range r.doc.Endpoints {
		r.report(e.Name, 1)
	}
	r.is.Equal(r.countUnconfirmed(r.now, content("one")), 0)
	r.is.Equal(len(r.crashes), 0)
}

func TestHeldBackAfterTwoUnconfirmed(t *testing.T) {
	r := newRig(t, 3)
	r.crash(r.startPrefill("a", "one"))
	r.crash(r.startPrefill("b", "one"))
	a := r.ask("c", "one")
	r.is.True(a != nil && a.Refusal != nil)
	r.is.Equal(a.Refusal.Code, verdict.CodeUnavailable)
	r.is.True(a.Refusal.RetryAfter > 0)
	r.startPrefill("d", "two") // another request is not
	r.now += unconfirmedCrashTTL
	r.Tick(r.now)
	r.startPrefill("e", "one") // nobody confirmed the crashes
}

func TestQuarantineAndLiftByLabel(t *testing.T) {
	r := newRig(t, 3)
	r.quarantine("one")
	r.is.Equal(len(r.Status(r.now).Quarantine), 1)
	r.startPrefill("other", "two")
	lifted := live.Clone(r.doc)
	lifted.Services[0].Labels = live.Labels{live.LabelLiftQuarantine: content("two").String()}
	r.Configure(r.now, lifted)
	a := r.ask("x", "one")
	r.is.Equal(a.Refusal.Code, verdict.CodeQuarantined) // the label names another
	lifted = live.Clone(r.doc)
	lifted.Services[0].Labels = live.Labels{live.LabelLiftQuarantine: content("one").String()}
	r.Configure(r.now, lifted)
	r.is.Equal(len(r.Status(r.now).Quarantine), 0)
	r.startPrefill("y", "one")
}

func TestLiftAllByLabel(t *testing.T) {
	r := newRig(t, 3)
	r.quarantine("one")
	lifted := live.Clone(r.doc)
	lifted.Services[0].Labels = live.Labels{live.LabelLiftQuarantine: "all"}
	r.Configure(r.now, lifted)
	r.startPrefill("y", "one")
}

func TestDrainExpires(t *testing.T) {
	r := newRig(t, 1)
	r.Drain(r.now, "prefill-0", true)
	r.is.Equal(r.Status(r.now).Leaving, []id.Endpoint{"prefill-0"})
	r.expectNotServed("a")
	r.Withdraw(r.now, "a")
	r.now += drainTTL
	r.report("prefill-0", 1)
	r.is.Equal(len(r.Status(r.now).Leaving), 0)
	r.startPrefill("b", "one")

	r.Drain(r.now, "prefill-0", true)
	r.Drain(r.now, "prefill-0", false) // let in at once
	r.is.Equal(len(r.Status(r.now).Leaving), 0)
}

func TestUnreachableIsKeptOff(t *testing.T) {
	r := newRig(t, 1)
	g := r.startPrefill("a", "one")
	r.progress(g, sched.Progress{Phase: sched.PhaseFailed, Endpoint: g.Prefill, Unreachable: true})
	r.is.Equal(r.probes, []id.Endpoint{g.Prefill})
	r.expectNotServed("b") // nothing else could serve it
	r.Withdraw(r.now, "b")
	r.report(g.Prefill, 1)
	r.startPrefill("c", "one")
	r.is.Equal(len(r.crashes), 0) // no crash was seen
}

// TestAdoptForgetsTheFormerPlace: a pool that comes back to its first owner
// brings requests whose work has moved on meanwhile.
func TestAdoptForgetsTheFormerPlace(t *testing.T) {
	r := newRig(t, 1)
	g := r.startPrefill("a", "one")
	r.Adopt(r.now, sched.Adopt{
		Want:  r.requests["a"].want,
		Grant: sched.Grant{Request: "a", Prefill: g.Prefill, Decode: g.Decode, Reservation: 9, Owner: id.Process{Daemon: "x"}},
		Phase: sched.PhaseDecoding,
	})
	r.is.Equal(r.Status(r.now).Working, 1)
	r.report(g.Prefill, 2) // the prefill engine crashes with nothing on it
	r.is.Equal(r.running, []int{0})
	r.Progress(r.now, sched.Progress{Request: "a", Reservation: 9, Phase: sched.PhaseDone})
	r.is.Equal(r.Status(r.now).Working, 0)
	r.is.Equal(r.Status(r.now).Tracked, 0)
}

// TestRefusalBesideWorkKeepsIt: a Want that comes again once its grant has
// expired is refused while the work goes on.
func TestRefusalBesideWorkKeepsIt(t *testing.T) {
	r := newRig(t, 1)
	r.startPrefill("a", "one")
	r.recordActions(r.now, []sched.Action{{Refusal: &sched.Refusal{Request: "a"}}})
	r.is.Equal(r.Status(r.now).Tracked, 1)
	r.Withdraw(r.now, "a")
	r.is.Equal(r.Status(r.now).Working, 0)
}

// TestLateBindingIsNotFollowed: the daemon gave up the wait for a binding and
// decodes at the endpoint that the grant named.
func TestLateBindingIsNotFollowed(t *testing.T) {
	r := newRig(t, 2)
	g := r.startPrefill("a", "one")
	r.progress(g, sched.Progress{Phase: sched.PhaseTransferring})
	r.progress(g, sched.Progress{Phase: sched.PhaseDecoding})
	r.recordActions(r.now, []sched.Action{{Binding: &sched.Binding{Request: "a", Decode: "decode-9"}}})
	r.progress(g, sched.Progress{Phase: sched.PhaseDone, OutputTokens: 5})
	r.is.Equal(r.Status(r.now).Working, 0)
}

func TestDecodeElsewhereIsFollowed(t *testing.T) {
	r := newRig(t, 2)
	g := r.startPrefill("a", "one")
	r.progress(g, sched.Progress{Phase: sched.PhaseTransferring})
	r.progress(g, sched.Progress{Phase: sched.PhaseDecoding, Endpoint: "decode-9"})
	r.is.Equal(len(r.endpoint(g.Decode).running), 0)
	r.is.Equal(len(r.endpoint("decode-9").running), 1)
	r.progress(g, sched.Progress{Phase: sched.PhaseDone, OutputTokens: 5})
	r.is.Equal(r.Status(r.now).Working, 0)
}

func TestBindingIsFollowed(t *testing.T) {
	r := newRig(t, 2)
	g := r.startPrefill("a", "one")
	r.progress(g, sched.Progress{Phase: sched.PhaseTransferring})
	r.recordActions(r.now, []sched.Action{{Binding: &sched.Binding{Request: "a", Decode: "decode-9"}}})
	r.is.Equal(len(r.endpoint(g.Decode).running), 0)
	r.is.Equal(len(r.endpoint("decode-9").running), 1)
	r.progress(g, sched.Progress{Phase: sched.PhaseDone, OutputTokens: 5})
	r.is.Equal(r.Status(r.now).Working, 0)
}

func TestProcessGoneIsForgotten(t *testing.T) {
	r := newRig(t, 1)
	r.startPrefill("a", "one")
	r.ProcessGone(r.now, id.Process{Daemon: "d", Incarnation: 1})
	s := r.Status(r.now)
	r.is.Equal(s.Tracked+s.Working+s.Running+s.Queued, 0)
}

func TestLostEndIsSwept(t *testing.T) {
	r := newRig(t, 1)
	r.startPrefill("a", "one")
	r.now += trackedRequestTTL + ms
	r.Tick(r.now)
	s := r.Status(r.now)
	r.is.Equal(s.Tracked+s.Working, 0)
}
