package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// serve serves one request to completion and returns its prefill engine. The slow
// engine takes factor times as long for a prefill.
func serve(t *testing.T, l *Ledger, n int, slow id.Endpoint, factor float64) id.Endpoint {
	t.Helper()
	want := testWant(n, teamName(0))
	g := onlyGrant(t, l.Want(l.now+ms, want))
	took := 100 * ms
	if g.Prefill == slow {
		took = seconds(factor * took.Seconds())
	}
	p := progressOf(g, PhasePrefilling)
	l.Progress(l.now+ms, p)
	p.Phase, p.PromptTokens, p.PrefillTime = PhaseTransferring, want.PromptTokens, took
	l.Progress(l.now+took, p)
	l.Progress(l.now+ms, progressOf(g, PhaseDecoding))
	l.Progress(l.now+400*ms, progressOf(g, PhaseDone))
	return g.Prefill
}

// TestSlowEngineIsUsedAgain: only samples correct the estimate of an engine that
// was slow, and it gets no work while others are estimated to be faster. The
// estimate must have decayed after ten seconds.
func TestSlowEngineIsUsedAgain(t *testing.T) {
	is := is.New(t)
	const slow = id.Endpoint("prefill-000")
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	n := 0
	for range 20 {
		n++
		serve(t, l, n, slow, 10)
	}
	is.True(l.endpoints[slow].prefillRate.mean < 20_000) // the estimate shows the slow rate

	l.Tick(l.now + 10*time.Second)
	got := 0
	for range 20 {
		n++
		if serve(t, l, n, slow, 1) == slow {
			got++
		}
	}
	t.Logf("%d of 20 prompts went to the engine that was slow", got)
	is.True(got >= 5) // half of its even share
}

// TestOneProbeAtATimeRunsAgainstEstimates: if the means rule out every request,
// one runs as a probe, and requests that arrive in the meantime are refused with a
// RetryAfter.
func TestOneProbeAtATimeRunsAgainstEstimates(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	for _, e := range l.endpoints {
		e.prefillRate.add(l.now, 1)
		e.prefillRate.mean = 500
	}
	l.pool.learnRate(l.now, 1)
	l.pool.rate.mean = 500 // 4 s for the prompt; the patience is 1 s
	first := onlyGrant(t, l.Want(l.now+ms, testWant(1, teamName(0))))
	refusal := onlyRefusal(t, l.Want(l.now+ms, testWant(2, teamName(0))))
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.True(refusal.RetryAfter > 0)

	l.Progress(l.now+100*ms, progressOf(first, PhaseDecoding))
	onlyGrant(t, l.Want(l.now+ms, testWant(3, teamName(0))))
	l.Audit()
}

// TestNoProbeForLateRequest: a request that can't be in time even at the pool's
// best rates is refused, although the pool is idle.
func TestNoProbeForLateRequest(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	want := testWant(1, teamName(0))
	want.Age = 950 * ms // the patience is 1 s; at best the first token takes 120 ms
	refusal := onlyRefusal(t, l.Want(l.now+ms, want))
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.True(refusal.RetryAfter > 0)
}

// TestSlowPlainCallsDoNotBlockAdmission: the ledger learns how long plain calls
// hold their slots. A high estimate must not keep later requests from a free slot.
func TestSlowPlainCallsDoNotBlockAdmission(t *testing.T) {
	is := is.New(t)
	doc := testDocument(0, 1)
	doc.Services[0].Type = live.ServicePlain
	doc.Services[0].PatienceMS = 100
	doc.Endpoints = []live.Endpoint{{
		Name: "desk-1", Labels: live.Labels{"pool": "packets", live.LabelRole: string(live.RolePlain)}, Slots: 2,
	}}
	l := testLedger(t, testOptions(t), doc)
	for n := range 20 {
		g := onlyGrant(t, l.Want(l.now+ms, testWant(n, teamName(0))))
		l.Progress(l.now+ms, progressOf(g, PhaseDecoding))
		l.Progress(l.now+10*time.Second, progressOf(g, PhaseDone))
	}
	is.True(l.services[testService].estimate.callSeconds.mean > 9)

	for n := range 20 {
		g := onlyGrant(t, l.Want(l.now+ms, testWant(100+n, teamName(0))))
		l.Progress(l.now+ms, progressOf(g, PhaseDecoding))
		l.Progress(l.now+15*ms, progressOf(g, PhaseDone))
	}
}
