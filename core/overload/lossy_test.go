package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// observed is a scheduler whose engines are watched by a health detector, as by the manager
// of a pool.
type observed struct {
	sched.Scheduler
	detector *health.Detector
}

// Configure implements sched.Scheduler.
func (o *observed) Configure(now time.Duration, doc *live.Document) []sched.Action {
	var members []health.Member
	for _, e := range doc.Endpoints {
		members = append(members, health.Member{Endpoint: e.Name, Pool: poolName, Role: live.Role(e.Labels[live.LabelRole])})
	}
	o.detector.Configure(now, members)
	return o.Scheduler.Configure(now, doc)
}

// Progress implements sched.Scheduler.
func (o *observed) Progress(now time.Duration, p sched.Progress) []sched.Action {
	switch p.Phase {
	case sched.PhaseDone:
		o.detector.Outcome(now, p.Endpoint, health.Result{Request: p.Request, Kind: health.OK})
	case sched.PhaseFailed:
		o.detector.Outcome(now, p.Endpoint, health.Result{Request: p.Request, Kind: health.Failed})
	}
	return o.Scheduler.Progress(now, p)
}

// Tick implements sched.Scheduler.
func (o *observed) Tick(now time.Duration) []sched.Action {
	o.detector.Tick(now)
	return o.Scheduler.Tick(now)
}

// lossyPool returns the replay of a pool of 60 engines, of which 21 prefill, under a burst of
// twice the usual load in which engines lose 4 in 10 answers.
func lossyPool(avoid, all bool) Replay {
	r := SamplePool(Burst{At: 6 * time.Second, For: 4 * time.Second, Factor: 2})
	r.Load.Length, r.Load.PerSecond, r.Load.Output = 16*time.Second, 50, 300
	r.Engines.Prefills, r.Engines.Decodes, r.Engines.Batch = 21, 39, 64
	r.Engines.Lossy = Lossy{At: 6 * time.Second, For: 4 * time.Second, Share: 0.4, All: all}
	r.New = func(pool id.Pool, self id.Process) sched.Scheduler {
		detector := health.New(health.Config{})
		return &observed{
			Scheduler: kvsched.New(kvsched.Options{Pool: pool, Self: self, Health: detector, AvoidLossy: avoid}),
			detector:  detector,
		}
	}
	return r
}

// lostAfter counts the answers lost, and the requests that arrived, from a second after the
// engines began to lose answers until they stopped.
func lostAfter(r Replay) (lostAnswers, requests, inTime int) {
	from, to := r.Engines.Lossy.At+time.Second, r.Engines.Lossy.At+r.Engines.Lossy.For
	for seed := uint64(1); seed <= seeds; seed++ {
		res := r.Run(seed)
		for _, at := range res.LostAt {
			if at >= from && at < to {
				lostAnswers++
			}
		}
		for _, s := range res.Seconds[from/time.Second : to/time.Second] {
			requests += s.Requests
		}
		inTime += res.InTime
	}
	return lostAnswers, requests, inTime
}

// TestHalfOfTheEnginesLoseAnswersUnderABurst answers a burst of twice the usual load on 60
// engines of which every second decode engine loses 4 in 10 answers: too many to be left out
// by ejection.
func TestHalfOfTheEnginesLoseAnswersUnderABurst(t *testing.T) {
	is := is.New(t)
	before, requests, inTimeBefore := lostAfter(lossyPool(false, false))
	after, _, inTime := lostAfter(lossyPool(true, false))
	t.Logf("lost of %d: %d, %d without avoiding; in time %d, %d without", requests, after, before, inTime, inTimeBefore)
	is.True(20*after <= requests) // at most 1 in 20 lost after the first second
	is.True(inTime >= inTimeBefore)
}

// TestNoEngineIsLeftOutWhenAllLoseAnswers answers the same burst when all engines lose 4 in
// 10 answers: passing over some of them would only fill the others.
func TestNoEngineIsLeftOutWhenAllLoseAnswers(t *testing.T) {
	is := is.New(t)
	_, _, inTimeBefore := lostAfter(lossyPool(false, true))
	_, requests, inTime := lostAfter(lossyPool(true, true))
	t.Logf("of %d in time: %d, %d without avoiding", requests, inTime, inTimeBefore)
	is.True(float64(inTime) >= 0.98*float64(inTimeBefore))
}
