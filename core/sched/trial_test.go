package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestOneAtATimeIsTriedAgainstTheEstimates: where the means rule every request
// out, one runs, and those that come meanwhile are told when to come back.
func TestOneAtATimeIsTriedAgainstTheEstimates(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	for _, e := range l.endpoints {
		e.prefillRate.add(l.now, 1)
		e.prefillRate.mean = 500
	}
	l.pool.learnRate(l.now, 1)
	l.pool.rate.mean = 500 // 4 s for the prompt, of 1 s
	first := onlyGrant(t, l.Want(l.now+ms, testWant(1, teamName(0))))
	refusal := onlyRefusal(t, l.Want(l.now+ms, testWant(2, teamName(0))))
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.True(refusal.RetryAfter > 0)

	l.Progress(l.now+100*ms, progressOf(first, PhaseDecoding))
	onlyGrant(t, l.Want(l.now+ms, testWant(3, teamName(0))))
	l.Audit()
}

// TestNoTrialOfWhatIsTooLateAlready: a request whose time is over is refused,
// idle as the pool may be.
func TestNoTrialOfWhatIsTooLateAlready(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	want := testWant(1, teamName(0))
	want.Age = 950 * ms // of 1 s; at best it takes 120 ms
	refusal := onlyRefusal(t, l.Want(l.now+ms, want))
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.True(refusal.RetryAfter > 0)
}
