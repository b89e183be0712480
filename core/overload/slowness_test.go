package overload

import (
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// inTimeAim is the share of requests that are to have their first token in
	// time: 95 in 100, the stated aim.
	inTimeTarget = 0.95
	// relief is how long after a slowness the aim must hold again where engines are
	// nearly idle: a caller that was refused in it waits about as long before it
	// comes back. Engines that are well used have a backlog to serve first; for
	// them it is what the platform allows for a recovery.
	recoveryTime       = 2 * time.Second
	recoveryTimeLoaded = 12 * time.Second
)

// slowdown is ten seconds in which engines take so many times as long.
func testSlowdown(factor float64) Slowdown {
	return Slowdown{At: 5 * time.Second, For: 10 * time.Second, Factor: factor}
}

// slotDesk is a desk of 18 engines whose callers want a first token within
// 360 ms, at a twentieth of what they can serve.
func slotPool(slow Slowdown) Replay {
	return Replay{
		Load: Load{Length: 25 * time.Second, PerSecond: 20, Prompt: 200, Output: 5, SizeDeviation: 0.3, MaxFactor: 2},
		Callers: Callers{
			Target: 360 * time.Millisecond, ServicePatience: 360 * time.Millisecond, Patience: time.Minute,
			Deadline: time.Minute, Retries: 1000, WaitShare: 1,
		},
		Engines: Engines{
			Prefills: 9, Decodes: 9, Batch: 16, Memory: 1 << 20, Step: 5 * time.Millisecond,
			PrefillRate: 20000, Transfer: 10 * time.Millisecond, Slowdowns: []Slowdown{slow},
		},
		New: func(pool id.Pool, self id.Process) sched.Scheduler {
			return sched.NewLedger(sched.Options{Pool: pool, Self: self, Seed: 1})
		},
	}
}

// checkRelief fails the test if too few of those that arrive a while after the
// slowness are answered in time.
func checkRecovery(t *testing.T, r Replay, res *Result, relief time.Duration) {
	t.Helper()
	slow := r.Engines.Slowdowns[0]
	sound := int((slow.At + slow.For + relief) / time.Second)
	for i := sound; i < int(r.Load.Length/time.Second); i++ {
		s := res.Seconds[i]
		if got := share(s.InTime, s.Asked); got < inTimeTarget {
			t.Errorf("second %d, %v after the engines are sound: %.2f in time of %d (late %d, refused %d)",
				i, time.Duration(i)*time.Second-slow.At-slow.For, got, s.Asked, s.Late, s.Refused)
			return
		}
	}
}

// Callers of the scheduler for slots were told for good that a prompt of 79
// tokens is too large, by engines that read 20,000 tokens a second, and so were
// all others after them, while the engines stood idle. The means that daemons
// measure hold their own lag and an engine's queue; they were compared with the
// whole patience, so that once they were bad no request ran, and nothing but a
// request that runs corrects them. What showed it are the parts of the estimate
// on the lines of the refusals: all of one seed rest on the same thirteen samples,
// which get older.
//
//	event=refused code=too_large why="the prompt of about 79 tokens needs 419ms ...
//	  estimates: prefill 1906 tokens/s (13 samples, the last 1.742s ago), transfer 350.3 ms ..."
//	event=refused code=too_large why="the prompt of about 294 tokens needs 532ms ...
//	  estimates: prefill 1906 tokens/s (13 samples, the last 2.461s ago), transfer 350.3 ms ..."
func TestASlownessThatIsOverRefusesNobody(t *testing.T) {
	for _, factor := range []float64{10, 40, 100} {
		r := slotPool(testSlowdown(factor))
		res := r.Run(1)
		t.Logf("%v times as slow: of %d in time %d, late %d, refused for good %d", factor, res.Asked, res.InTime, res.Late, res.RefusedPermanently)
		if res.RefusedPermanently > 0 {
			t.Errorf("%v times as slow: %d callers told not to come back", factor, res.RefusedPermanently)
		}
		checkRecovery(t, r, res, recoveryTime)
	}
}

// TestTheMemorySchedulerForgetsASlowness: what the scheduler for engines bound by
// memory learns (the lead to a first token, rates, the pace of answers, how fast
// its queue is served) is corrected by work that goes on, however slow engines
// were. The callers that a backlog of ten seconds leaves are served first.
func TestTheMemorySchedulerForgetsASlowness(t *testing.T) {
	for _, factor := range []float64{5, 40, 400} {
		for seed := uint64(1); seed <= seeds; seed++ {
			r := desk()
			r.Load.Length = 40 * time.Second
			r.Callers.Retries = 1000
			r.Engines.Slowdowns = []Slowdown{testSlowdown(factor)}
			r.New = func(pool id.Pool, self id.Process) sched.Scheduler {
				return kvsched.New(kvsched.Options{Pool: pool, Self: self})
			}
			res := r.Run(seed)
			t.Logf("%v times as slow, seed %d: of %d in time %d, late %d, left %d", factor, seed, res.Asked, res.InTime, res.Late, res.Left)
			if res.RefusedPermanently > 0 {
				t.Errorf("%v times as slow, seed %d: %d callers told not to come back", factor, seed, res.RefusedPermanently)
			}
			checkRecovery(t, r, res, recoveryTimeLoaded)
		}
	}
}
