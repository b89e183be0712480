package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// fairSimulation returns a simulation without faults whose engines serve about
// 120 requests a second, with requests that wait up to two seconds.
func fairSimulation(t *testing.T, seed uint64, weights ...float64) *simulation {
	doc := testDocument(22, len(weights))
	doc.Services[0].PatienceMS = 2000
	for i, weight := range weights {
		doc.Teams[i].Weight = weight
	}
	o := testOptions(t)
	o.Seed = seed
	return newSimulation(t, seed, o, doc, false)
}

// unchanged leaves a request as it is.
func unchanged(*Want) {}

func TestFloodDoesNotStarveOtherTeams(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		sim := fairSimulation(t, seed, 1, 1, 1, 1)
		const events = 15_000
		sim.arrivals(teamName(0), 10*ms/3, events, unchanged) // ten times its share of 30/s
		for i := 1; i < 4; i++ {
			sim.arrivals(teamName(i), 37*ms, events, unchanged) // nine tenths of their share
		}
		sim.run()
		for i := 1; i < 4; i++ {
			team := teamName(i)
			share := float64(sim.served[team]) / float64(sim.requested[team])
			t.Logf("seed %d, %s: %d of %d served", seed, team, sim.served[team], sim.requested[team])
			is.True(share > 0.97) // teams within their share are served
		}
		flood := teamName(0)
		t.Logf("seed %d, flood: %d of %d served", seed, sim.served[flood], sim.requested[flood])
		is.True(sim.served[flood] > sim.served[teamName(1)]) // the flooding team gets the unused capacity
		sim.assertEnd()
	}
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	sim := fairSimulation(t, 1, 1, 2, 3)
	const events = 30_000
	for i := range 3 {
		sim.arrivals(teamName(i), 8*ms, events, unchanged)
	}
	sim.run()
	total := 0
	for i := range 3 {
		total += sim.served[teamName(i)]
	}
	for i := range 3 {
		share := float64(sim.served[teamName(i)]) / float64(total)
		expected := float64(i+1) / 6
		t.Logf("%s: share %.3f, expected %.3f", teamName(i), share, expected)
		is.True(share > expected-0.02)
		is.True(share < expected+0.02)
	}
}

func TestLongPromptsAreChargedToTheirTeam(t *testing.T) {
	is := is.New(t)
	sim := fairSimulation(t, 1, 1, 1)
	const events = 30_000
	sim.arrivals(teamName(0), 8*ms, events, func(want *Want) {
		want.PromptTokens = 8000
		want.OutputTokens = 80
	})
	sim.arrivals(teamName(1), 4*ms, events, unchanged)
	sim.run()
	ratio := float64(sim.served[teamName(1)]) / float64(sim.served[teamName(0)])
	t.Logf("four times the size, %.2f times fewer served", ratio)
	is.True(ratio > 3.4)
	is.True(ratio < 4.6)
}

func TestSingleActiveTeamUsesWholePool(t *testing.T) {
	is := is.New(t)
	alone := fairSimulation(t, 1, 1)
	alone.arrivals(teamName(0), 5*ms, 10_000, unchanged)
	alone.run()
	one := fairSimulation(t, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	one.arrivals(teamName(0), 5*ms, 10_000, unchanged)
	one.run()
	is.Equal(one.served, alone.served) // idle teams reserve no capacity
}

func TestCancelledRequestIsChargedForTimeUsed(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 2))
	g := onlyGrant(t, l.Want(0+2, testWant(1, teamName(0))))
	charged := l.teams[teamName(0)].finishTag
	l.Progress(3*ms, progressOf(g, PhasePrefilling))
	l.Progress(60*ms, progressOf(g, PhaseCancelled))
	paid := l.teams[teamName(0)].finishTag
	is.True(paid > charged/10)
	is.True(paid < charged)
	onlyGrant(t, l.Want(70*ms, testWant(2, teamName(1))))
}

func TestTeamLimitSpansDaemons(t *testing.T) {
	is := is.New(t)
	doc := testDocument(22, 2)
	doc.Teams[0].MaxInFlight = 3
	l := testLedger(t, testOptions(t), doc)
	var last *Grant
	for n := range 3 {
		w := testWant(n, teamName(0))
		w.From.Daemon = id.Daemon(rune('a' + n))
		last = onlyGrant(t, l.Want(ms, w))
	}
	refusal := onlyRefusal(t, l.Want(ms, testWant(3, teamName(0))))
	is.Equal(refusal.Code, verdict.CodeTeamLimit)
	is.True(refusal.RetryAfter > 0)
	onlyGrant(t, l.Want(ms, testWant(4, teamName(1))))
	l.Progress(2*ms, progressOf(last, PhaseDone))
	onlyGrant(t, l.Want(3*ms, testWant(5, teamName(0))))
}

func TestPriorityWithinATeam(t *testing.T) {
	is := is.New(t)
	doc := testDocument(2, 1)
	doc.Endpoints[1].Slots = 1
	l := testLedger(t, testOptions(t), doc)
	first := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	low, high := testWant(2, teamName(0)), testWant(3, teamName(0))
	high.Priority = 9
	is.Equal(len(l.Want(2*ms, low)), 0)
	is.Equal(len(l.Want(3*ms, high)), 0)
	g := onlyGrant(t, l.Progress(4*ms, progressOf(first, PhaseDone)))
	is.Equal(g.Request, high.Request)
}

// TestGoodputRecoversAfterOverload guards against an overload that outlasts its
// cause: once the arrivals are within capacity, no request is refused.
func TestGoodputRecoversAfterOverload(t *testing.T) {
	is := is.New(t)
	sim := fairSimulation(t, 1, 1, 1)
	sim.arrivals(teamName(0), 2*ms, 10_000, unchanged) // 500 a second, several times the capacity
	sim.run()
	is.True(sim.refused > 0)
	before, refused := sim.granted, sim.refused
	until := sim.events + 3000
	start := sim.now
	sim.arrivals(teamName(0), 20*ms, until, unchanged) // well within capacity
	sim.run()
	is.True(sim.granted > before)
	is.Equal(sim.refused, refused) // no further refusals
	is.True(sim.now-start < time.Hour)
	sim.assertEnd()
}

func TestPlainPoolSharesTheSameQueue(t *testing.T) {
	is := is.New(t)
	doc := testDocument(0, 2)
	doc.Services[0].Type = live.ServicePlain
	doc.Pools[0].Model = ""
	for _, name := range []id.Endpoint{"a", "b"} {
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name:   name,
			Labels: live.Labels{"pool": "packets", live.LabelRole: string(live.RolePlain)},
			Slots:  1,
		})
	}
	l := testLedger(t, testOptions(t), doc)
	first := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	second := onlyGrant(t, l.Want(ms, testWant(2, teamName(0))))
	is.Equal(first.Prefill, id.Endpoint(""))
	is.True(first.Decode != second.Decode) // the endpoint with a free slot
	is.Equal(len(l.Want(2*ms, testWant(3, teamName(0)))), 0)
	is.Equal(len(l.Want(3*ms, testWant(4, teamName(1)))), 0)
	next := onlyGrant(t, l.Progress(4*ms, progressOf(first, PhaseDone)))
	is.Equal(next.Request, id.Request("r0000004")) // the other team is served next
}
