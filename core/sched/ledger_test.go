package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// smallLedger returns a ledger with one prefill engine and one decode engine with
// one slot.
func smallLedger(t *testing.T) *Ledger {
	doc := testDocument(2, 2)
	doc.Endpoints[1].Slots = 1
	return testLedger(t, testOptions(t), doc)
}

func TestRepeatedWantIsAnsweredAgainAndRunOnce(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	w := testWant(1, teamName(0))
	g := onlyGrant(t, l.Want(ms, w))
	is.Equal(onlyGrant(t, l.Want(2*ms, w)), g)
	waits := testWant(2, teamName(0))
	is.Equal(len(l.Want(3*ms, waits)), 0)
	is.Equal(len(l.Want(4*ms, waits)), 0)
	is.Equal(l.Snapshot().Queued, 1)
	l.Withdraw(5*ms, waits.Request)
	l.Progress(6*ms, progressOf(g, PhaseDone))
	is.Equal(onlyRefusal(t, l.Want(7*ms, w)).Code, verdict.CodeSuperseded)
	is.Equal(onlyRefusal(t, l.Want(8*ms, waits)).Code, verdict.CodeSuperseded)
	is.Equal(l.Snapshot().Running, 0)
}

func TestWithdrawMayOvertakeItsWant(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	w := testWant(1, teamName(0))
	l.Withdraw(ms, w.Request)
	is.Equal(onlyRefusal(t, l.Want(2*ms, w)).Code, verdict.CodeSuperseded)
}

func TestReservationWithoutProgressExpires(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	first := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	is.Equal(len(l.Want(2*ms, testWant(2, teamName(1)))), 0)
	due := l.granted[first.Request].expires
	is.Equal(len(l.Tick(due-1)), 0)
	is.Equal(onlyGrant(t, l.Tick(due)).Request, id.Request("r0000002"))
	is.Equal(l.Snapshot().Running, 1)
}

func TestProgressAfterExpiryRevivesReservation(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	g := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	l.Tick(2 * time.Second)
	is.Equal(l.Snapshot().Running, 0)
	l.Progress(2*time.Second+ms, progressOf(g, PhaseDecoding))
	is.Equal(l.Snapshot().Held, 1)
	l.Audit()
	is.Equal(len(l.Want(2*time.Second+2*ms, testWant(2, teamName(0)))), 0) // the slot is in use
	onlyGrant(t, l.Progress(2*time.Second+3*ms, progressOf(g, PhaseDone)))
	l.Audit()
}

func TestProgressOfAnotherReservationIsIgnored(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	g := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	p := progressOf(g, PhaseDone)
	p.Reservation++
	l.Progress(2*ms, p)
	is.Equal(l.Snapshot().Running, 1)
}

func TestEveryOutcomeReleasesReservation(t *testing.T) {
	ends := map[string]func(l *Ledger, g *Grant){
		"done":      func(l *Ledger, g *Grant) { l.Progress(5*ms, progressOf(g, PhaseDone)) },
		"failed":    func(l *Ledger, g *Grant) { l.Progress(5*ms, progressOf(g, PhaseFailed)) },
		"cancelled": func(l *Ledger, g *Grant) { l.Progress(5*ms, progressOf(g, PhaseCancelled)) },
		"withdrawn": func(l *Ledger, g *Grant) { l.Withdraw(5*ms, g.Request) },
		"gone":      func(l *Ledger, g *Grant) { l.ProcessGone(5*ms, testWant(1, "").From) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := smallLedger(t)
			end(l, onlyGrant(t, l.Want(ms, testWant(1, teamName(0)))))
			s := l.Snapshot()
			is.Equal(s.Running, 0)
			is.Equal(s.Held, 0)
			is.Equal(len(s.Teams), 0)
			is.Equal(len(l.endpoints["prefill-000"].queue), 0)
			is.Equal(len(l.links[linkKey{testDomains[0], testDomains[0]}].transfers), 0)
			l.Audit()
			onlyGrant(t, l.Want(6*ms, testWant(2, teamName(0))))
		})
	}
}

func TestFullEndpointGetsNoWorkDuringHold(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	g := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	full := progressOf(g, PhaseFailed)
	full.Endpoint = g.Decode
	full.Full = true
	l.Progress(2*ms, full)
	is.Equal(len(l.Want(3*ms, testWant(2, teamName(0)))), 0)
	is.Equal(len(l.Tick(50*ms)), 0)
	onlyGrant(t, l.Tick(110*ms))
}

func TestReportedSlotsBoundConfiguredSlots(t *testing.T) {
	is := is.New(t)
	doc := testDocument(2, 1)
	l := testLedger(t, testOptions(t), doc)
	l.Load(ms, Load{Endpoint: doc.Endpoints[1].Name, Reachable: true, Model: "m", Slots: 1})
	is.Equal(l.Snapshot().Slots, 1)
	onlyGrant(t, l.Want(2*ms, testWant(1, teamName(0))))
	is.Equal(len(l.Want(3*ms, testWant(2, teamName(0)))), 0)
	l.Load(4*ms, Load{Endpoint: doc.Endpoints[1].Name, Reachable: true, Model: "m", Slots: 99})
	is.Equal(l.Snapshot().Slots, doc.Endpoints[1].Slots)
}

func TestAdmissionRefusesLateRequests(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	old := testWant(1, teamName(0))
	old.Age = 950 * ms
	refusal := onlyRefusal(t, l.Want(ms, old))
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.True(refusal.RetryAfter > 0)
	is.Equal(onlyRefusal(t, l.Want(2*ms, old)), refusal) // the refusal is repeated
	for n := 2; n < 40; n++ {
		l.Want(3*ms, testWant(n, teamName(0)))
	}
	s := l.Snapshot()
	is.True(s.Queued > 0)
	is.True(s.Queued < 10) // a request holds its slot for half a second; the patience is one second
}

func TestQueuedRequestIsRefusedOnceLate(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	g := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	l.Progress(2*ms, progressOf(g, PhaseDecoding))
	is.Equal(len(l.Want(3*ms, testWant(2, teamName(0)))), 0)
	latest := l.waiting["r0000002"].latest
	is.Equal(len(l.Tick(latest)), 0)
	refusal := onlyRefusal(t, l.Tick(latest+1))
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.Equal(l.Snapshot().Queued, 0)
}

func TestRefusalCodes(t *testing.T) {
	cases := []struct {
		code   verdict.Code
		change func(doc *live.Document, w *Want)
	}{
		{verdict.CodeUnknownService, func(_ *live.Document, w *Want) { w.Service = "none" }},
		{verdict.CodeForbidden, func(_ *live.Document, w *Want) { w.Team = "none" }},
		{verdict.CodeForbidden, func(doc *live.Document, _ *Want) { doc.Services[0].TeamSelector = "paid=yes" }},
		{verdict.CodeNoEndpoint, func(doc *live.Document, _ *Want) { doc.Endpoints = doc.Endpoints[:1] }},
		{verdict.CodeNoEndpoint, func(doc *live.Document, _ *Want) {
			doc.Endpoints[0].Labels[live.LabelLeaving] = "true"
		}},
	}
	for _, tt := range cases {
		is := is.New(t)
		doc := testDocument(2, 1)
		w := testWant(1, teamName(0))
		tt.change(doc, &w)
		l := testLedger(t, testOptions(t), doc)
		is.Equal(onlyRefusal(t, l.Want(ms, w)).Code, tt.code)
	}
}

func TestQueueBoundsHold(t *testing.T) {
	is := is.New(t)
	doc := testDocument(2, 2)
	doc.Endpoints[1].Slots = 1
	doc.Services[0].PatienceMS = 1_000_000
	o := testOptions(t)
	o.MaxQueue = 5
	o.MaxTeamQueue = 3
	l := testLedger(t, o, doc)
	codes := map[verdict.Code]int{}
	for n := range 20 {
		for _, a := range l.Want(ms, testWant(n, teamName(n/10))) {
			if a.Refusal != nil {
				codes[a.Refusal.Code]++
			}
		}
	}
	is.Equal(l.Snapshot().Queued, 5)
	is.Equal(codes[verdict.CodeTeamLimit], 6)  // first team: 1 granted, 3 waiting
	is.Equal(codes[verdict.CodeOverloaded], 8) // second team: 2 waiting
}

func TestConfigurationRefusesQueuedRequests(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	is.Equal(len(l.Want(2*ms, testWant(2, teamName(0)))), 0)
	doc := testDocument(2, 2)
	doc.Services[0].TeamSelector = "paid=yes"
	is.Equal(onlyRefusal(t, l.Configure(3*ms, doc)).Code, verdict.CodeForbidden)
	is.Equal(l.Snapshot().Running, 1) // running requests continue
}

func TestInvalidSelectorKeepsFormerState(t *testing.T) {
	is := is.New(t)
	var violations []string
	o := testOptions(t)
	o.Violation = func(name, _ string) { violations = append(violations, name) }
	l := testLedger(t, o, testDocument(2, 1))
	doc := testDocument(2, 1)
	doc.Services[0].TeamSelector = "a in ("
	doc.Pools[0].EndpointSelector = "b in ("
	l.Configure(ms, doc)
	is.Equal(violations, []string{"configuration", "configuration"})
	onlyGrant(t, l.Want(2*ms, testWant(1, teamName(0))))
}
