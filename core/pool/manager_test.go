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

// rig is a Manager with engines of each role; it records the Manager's events.
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
		r.reportReachable(e.Name, 1)
	}
	return r
}

// reportReachable sends a load report of a reachable endpoint.
func (r *rig) reportReachable(e id.Endpoint, incarnation id.Incarnation) []sched.Action {
	r.now += ms
	return r.Load(r.now, sched.Load{Endpoint: e, Incarnation: incarnation, Slots: 2, Reachable: true})
}

func content(name string) poison.Fingerprint { return poison.NewFingerprint("t", "s", []byte(name)) }

// sendWant sends a Want and returns the first action within 100 ms; nil if the request
// still waits then.
func (r *rig) sendWant(request id.Request, name string) *sched.Action {
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

// expectNotServed checks that a request waits or is refused for lack of an
// endpoint.
func (r *rig) expectNotServed(request id.Request) {
	r.is.Helper()
	a := r.sendWant(request, "one")
	r.is.True(a == nil || (a.Refusal != nil && a.Refusal.Code == verdict.CodeNoEndpoint))
}

// startPrefill sends a Want, expects a grant and reports the start of the prefill.
func (r *rig) startPrefill(request id.Request, name string) *sched.Grant {
	r.is.Helper()
	a := r.sendWant(request, name)
	r.is.True(a != nil && a.Grant != nil)
	r.reportProgress(a.Grant, sched.Progress{Phase: sched.PhasePrefilling})
	return a.Grant
}

func (r *rig) reportProgress(g *sched.Grant, p sched.Progress) {
	p.Request = g.Request
	p.Reservation = g.Reservation
	r.Progress(r.now, p)
}

// breakConnection reports that a request's prefill failed with a broken connection.
func (r *rig) breakConnection(g *sched.Grant) {
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseFailed, Endpoint: g.Prefill, Crashed: true})
}

// quarantine crashes endpoints under a request that runs alone, up to three
// times, until the request is quarantined.
func (r *rig) quarantine(name string) {
	r.is.Helper()
	for i := range 3 {
		g := r.startPrefill(id.Request(fmt.Sprint(name, i)), name)
		r.breakConnection(g)
		r.reportReachable(g.Prefill, r.endpoint(g.Prefill).incarnation+1)
		r.now += 10 * time.Minute / 3 // the crash was counted and the ejection ended
		r.Tick(r.now)
		if a := r.sendWant(id.Request(fmt.Sprint(name, i, "?")), name); a != nil && a.Refusal != nil {
			r.is.Equal(a.Refusal.Code, verdict.CodeQuarantined)
			return
		}
		r.Withdraw(r.now, id.Request(fmt.Sprint(name, i, "?")))
	}
	r.is.Fail()
}

func TestHigherIncarnationIsACrashOfAllRunningRequests(t *testing.T) {
	r := newRig(t, 1)
	a := r.startPrefill("a", "one")
	b := r.startPrefill("b", "two")
	r.is.Equal(a.Prefill, b.Prefill)
	r.breakConnection(a) // a's connection broke, b's has not yet
	r.is.Equal(r.probes, []id.Endpoint{a.Prefill})
	r.reportReachable(a.Prefill, 2)
	r.is.Equal(r.crashes, []poison.CrashID{{Endpoint: a.Prefill, Incarnation: 1}})
	r.is.Equal(r.running, []int{2})
	for _, name := range []string{"one", "two"} {
		finding := r.opts.Poison.Check(r.wall(r.now), content(name))
		r.is.Equal(finding.Standing, poison.Suspected)
	}
	r.is.Equal(r.opts.Poison.Check(r.wall(r.now), content("three")).Standing, poison.Clear)
	r.reportReachable(a.Prefill, 1) // a late report from the former process
	r.is.Equal(len(r.crashes), 1)
}

func TestSameIncarnationRefutesACrash(t *testing.T) {
	r := newRig(t, 2)
	r.breakConnection(r.startPrefill("a", "one"))
	r.is.Equal(r.countUnconfirmed(r.now, content("one")), 1)
	for _, e := range r.doc.Endpoints {
		r.reportReachable(e.Name, 1)
	}
	r.is.Equal(r.countUnconfirmed(r.now, content("one")), 0)
	r.is.Equal(len(r.crashes), 0)
}

func TestHeldBackAfterTwoUnconfirmedCrashes(t *testing.T) {
	r := newRig(t, 3)
	r.breakConnection(r.startPrefill("a", "one"))
	r.breakConnection(r.startPrefill("b", "one"))
	a := r.sendWant("c", "one")
	r.is.True(a != nil && a.Refusal != nil)
	r.is.Equal(a.Refusal.Code, verdict.CodeUnavailable)
	r.is.True(a.Refusal.RetryAfter > 0)
	r.startPrefill("d", "two") // another request is not held back
	r.now += unconfirmedCrashTTL
	r.Tick(r.now)
	r.startPrefill("e", "one") // the crashes were not confirmed in time
}

func TestQuarantineAndLiftByLabel(t *testing.T) {
	r := newRig(t, 3)
	r.quarantine("one")
	r.is.Equal(len(r.Status(r.now).Quarantine), 1)
	r.startPrefill("other", "two")
	lifted := live.Clone(r.doc)
	lifted.Services[0].Labels = live.Labels{live.LabelLiftQuarantine: content("two").String()}
	r.Configure(r.now, lifted)
	a := r.sendWant("x", "one")
	r.is.Equal(a.Refusal.Code, verdict.CodeQuarantined) // the label names another fingerprint
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
	r.reportReachable("prefill-0", 1)
	r.is.Equal(len(r.Status(r.now).Leaving), 0)
	r.startPrefill("b", "one")

	r.Drain(r.now, "prefill-0", true)
	r.Drain(r.now, "prefill-0", false) // the drain ends at once
	r.is.Equal(len(r.Status(r.now).Leaving), 0)
}

func TestUnreachableEndpointGetsNoWork(t *testing.T) {
	r := newRig(t, 1)
	g := r.startPrefill("a", "one")
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseFailed, Endpoint: g.Prefill, Unreachable: true})
	r.is.Equal(r.probes, []id.Endpoint{g.Prefill})
	r.expectNotServed("b") // no other prefill endpoint
	r.Withdraw(r.now, "b")
	r.reportReachable(g.Prefill, 1)
	r.startPrefill("c", "one")
	r.is.Equal(len(r.crashes), 0) // unreachable is not a crash
}

// When a pool returns to an earlier owner, that owner may still have records of
// requests that have since moved to another endpoint. Adopt must replace them.
func TestAdoptReplacesOutdatedRecords(t *testing.T) {
	r := newRig(t, 1)
	g := r.startPrefill("a", "one")
	r.Adopt(r.now, sched.Adopt{
		Want:  r.requests["a"].want,
		Grant: sched.Grant{Request: "a", Prefill: g.Prefill, Decode: g.Decode, Reservation: 9, Owner: id.Process{Daemon: "x"}},
		Phase: sched.PhaseDecoding,
	})
	r.is.Equal(r.Status(r.now).Working, 1)
	r.reportReachable(g.Prefill, 2) // the prefill engine crashes while no request runs there
	r.is.Equal(r.running, []int{0})
	r.Progress(r.now, sched.Progress{Request: "a", Reservation: 9, Phase: sched.PhaseDone})
	r.is.Equal(r.Status(r.now).Working, 0)
	r.is.Equal(r.Status(r.now).Tracked, 0)
}

// A Want that is sent again after its grant expired can be refused while the
// request still runs. The refusal must not drop the running request.
func TestRefusalKeepsRunningRequest(t *testing.T) {
	r := newRig(t, 1)
	r.startPrefill("a", "one")
	r.recordActions(r.now, []sched.Action{{Refusal: &sched.Refusal{Request: "a"}}})
	r.is.Equal(r.Status(r.now).Tracked, 1)
	r.Withdraw(r.now, "a")
	r.is.Equal(r.Status(r.now).Working, 0)
}

// A daemon that stops waiting for a binding decodes at the endpoint named in the
// grant. A binding that arrives later must not move the request.
func TestLateBindingIsIgnored(t *testing.T) {
	r := newRig(t, 2)
	g := r.startPrefill("a", "one")
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseTransferring})
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseDecoding})
	r.recordActions(r.now, []sched.Action{{Binding: &sched.Binding{Request: "a", Decode: "decode-9"}}})
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseDone, OutputTokens: 5})
	r.is.Equal(r.Status(r.now).Working, 0)
}

func TestReportedDecodeEndpointIsRecorded(t *testing.T) {
	r := newRig(t, 2)
	g := r.startPrefill("a", "one")
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseTransferring})
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseDecoding, Endpoint: "decode-9"})
	r.is.Equal(len(r.endpoint(g.Decode).running), 0)
	r.is.Equal(len(r.endpoint("decode-9").running), 1)
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseDone, OutputTokens: 5})
	r.is.Equal(r.Status(r.now).Working, 0)
}

func TestBindingMovesTheRequest(t *testing.T) {
	r := newRig(t, 2)
	g := r.startPrefill("a", "one")
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseTransferring})
	r.recordActions(r.now, []sched.Action{{Binding: &sched.Binding{Request: "a", Decode: "decode-9"}}})
	r.is.Equal(len(r.endpoint(g.Decode).running), 0)
	r.is.Equal(len(r.endpoint("decode-9").running), 1)
	r.reportProgress(g, sched.Progress{Phase: sched.PhaseDone, OutputTokens: 5})
	r.is.Equal(r.Status(r.now).Working, 0)
}

func TestProcessGoneDropsItsRequests(t *testing.T) {
	r := newRig(t, 1)
	r.startPrefill("a", "one")
	r.ProcessGone(r.now, id.Process{Daemon: "d", Incarnation: 1})
	s := r.Status(r.now)
	r.is.Equal(s.Tracked+s.Working+s.Running+s.Queued, 0)
}

func TestRequestWithoutEndReportIsSwept(t *testing.T) {
	r := newRig(t, 1)
	r.startPrefill("a", "one")
	r.now += trackedRequestTTL + ms
	r.Tick(r.now)
	s := r.Status(r.now)
	r.is.Equal(s.Tracked+s.Working, 0)
}
