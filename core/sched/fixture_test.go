package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

const (
	testPool    = id.Pool("packets")
	testService = id.Service("summaries")
	ms          = time.Millisecond
)

// testDomains are the failure domains over which endpoints are distributed.
var testDomains = []id.Domain{"aktau-port", "kuryk", "bautino", "aktau-city"}

// testDocument returns a configuration with a pool of the given number of
// endpoints, half of them prefill engines, and the given number of teams of
// weight 1.
func testDocument(endpoints, teams int) *live.Document {
	doc := &live.Document{Revision: 1}
	doc.Pools = []live.Pool{{Name: testPool, EndpointSelector: "pool=packets", Model: "m"}}
	doc.Services = []live.Service{
		{Name: testService, Type: live.ServiceModel, Pool: testPool, PatienceMS: 1000, WasteWeight: 0.2},
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, live.Team{Name: teamName(i), Weight: 1, MaxInFlight: 4096})
	}
	for i := range endpoints {
		role := live.RolePrefill
		if i%2 == 1 {
			role = live.RoleDecode
		}
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name:   id.Endpoint(fmt.Sprintf("%s-%03d", role, i/2)),
			Labels: live.Labels{"pool": "packets", live.LabelRole: string(role)},
			Domain: testDomains[i/2%len(testDomains)],
			Slots:  4,
		})
	}
	for _, from := range testDomains {
		for _, to := range testDomains {
			name := string(from) + "-" + string(to)
			doc.Links = append(doc.Links, live.Link{Name: name, From: from, To: to, BytesPerSecond: 5e9})
		}
	}
	return doc
}

// teamName returns the name of the i-th team.
func teamName(i int) id.Team { return id.Team(fmt.Sprintf("team-%03d", i)) }

// testOptions returns options that fail the test on a violation and settle at
// once.
func testOptions(t testing.TB) Options {
	return Options{
		Pool:   testPool,
		Self:   id.Process{Daemon: "owner", Incarnation: 1},
		Seed:   1,
		Settle: 1,
		Violation: func(name, detail string) {
			t.Helper()
			t.Errorf("invariant %s: %s", name, detail)
		},
	}
}

// testLedger returns a configured ledger after its settling period.
func testLedger(t testing.TB, o Options, doc *live.Document) *Ledger {
	l := NewLedger(o).(*Ledger)
	l.Configure(0, doc)
	l.Tick(2)
	return l
}

// testWant returns a request of 2000 prompt tokens and 20 output tokens.
func testWant(n int, team id.Team) Want {
	return Want{
		Request:      id.Request(fmt.Sprintf("r%07d", n)),
		Team:         team,
		Service:      testService,
		Pool:         testPool,
		From:         id.Process{Daemon: "d", Incarnation: 1},
		PromptTokens: 2000,
		OutputTokens: 20,
		Domain:       testDomains[0],
		Attempt:      1,
	}
}

// onlyGrant asserts that there is one action, a Grant, and returns it.
func onlyGrant(t testing.TB, actions []Action) *Grant {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.Equal(len(actions), 1)
	is.True(actions[0].Grant != nil) // the action is a grant
	return actions[0].Grant
}

// onlyRefusal asserts that there is one action, a Refusal, and returns it.
func onlyRefusal(t testing.TB, actions []Action) *Refusal {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.Equal(len(actions), 1)
	is.True(actions[0].Refusal != nil) // the action is a refusal
	return actions[0].Refusal
}

// progressOf returns the Progress of a grant in a phase.
func progressOf(g *Grant, phase Phase) Progress {
	p := Progress{Request: g.Request, Reservation: g.Reservation, Phase: phase}
	if phase == PhaseDone {
		p.OutputTokens = 20
	}
	return p
}

// timeMS converts milliseconds to a duration.
func timeMS(n int) time.Duration { return time.Duration(n) * ms }
