package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func TestFinishScorerPrefersTheLeastFinish(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	p := testPair(c)
	p.transfer = 50 * ms
	is.Equal(finishScorer{}.score(c, p), -0.15)
	p.delay = 50 * ms
	is.Equal(finishScorer{}.score(c, p), -0.2)
}

func TestAffinityScorerIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	p := testPair(c)
	is.Equal(affinityScorer{}.score(c, p), 0.0)
	p.prefill.cachedTokens = 1000
	is.Equal(affinityScorer{}.score(c, p), 0.05) // 1000 tokens at 20000 a second
	c.meanQueue = 40 * ms
	p.prefill.endpoint.busyUntil = c.now + 49*ms
	is.Equal(affinityScorer{}.score(c, p), 0.05)
	p.prefill.endpoint.busyUntil = c.now + 51*ms // over 1.25 times the mean
	is.Equal(affinityScorer{}.score(c, p), 0.0)
}

func TestDomainScorerPrefersOneDomain(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	p := testPair(c)
	near := domainScorer{}.score(c, p)
	p.decode.domain = testDomains[1]
	is.Equal(domainScorer{}.score(c, p), 0.0)
	c.want.Domain = testDomains[1]
	caller := domainScorer{}.score(c, p)
	is.True(near > caller)
	is.True(caller > 0)
}

func TestRoomScorerPrefersFreeSlots(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	p := testPair(c)
	empty := roomScorer{}.score(c, p)
	holdUntil(p.decode, c.now)
	is.True(roomScorer{}.score(c, p) < empty)
	p.decode.configured = 0
	is.Equal(roomScorer{}.score(c, p), 0.0)
}

func TestBestPickerTakesTheBestAndBreaksTies(t *testing.T) {
	is := is.New(t)
	is.Equal(bestPicker{}.pick(nil, nil), -1)
	is.Equal(bestPicker{}.pick(nil, []pair{{score: 1}, {score: 3}, {score: 2}}), 1)
	is.Equal(bestPicker{}.pick(nil, []pair{{score: 1, tie: 4}, {score: 1, tie: 9}}), 1)
}

func TestTiesAreSpreadAndRepeatable(t *testing.T) {
	is := is.New(t)
	choices := func() map[id.Endpoint]int {
		l := testLedger(t, testOptions(t), testDocument(8, 1))
		counts := map[id.Endpoint]int{}
		for n := range 200 {
			w := testWant(n, teamName(0))
			w.Domain = ""
			g := onlyGrant(t, l.Want(timeMS(n+1), w))
			counts[g.Prefill]++
			l.Progress(timeMS(n+1), progressOf(g, PhaseDone))
		}
		return counts
	}
	counts := choices()
	is.Equal(counts, choices()) // the same seed gives the same choices
	for _, n := range counts {
		is.True(n > 20) // 50 each on average
	}
	is.Equal(len(counts), 4)
}
