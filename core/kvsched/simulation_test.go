package kvsched

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// book is what one engine of the world really holds.
type engineState struct {
	requests map[id.Request]*job
	memory   int
}

// job is a request in the world; its output differs from what its caller said.
type job struct {
	grant  *sched.Grant
	prompt int
	output int
	read   time.Duration
	begun  time.Duration
	ends   time.Duration
}

const (
	simulatedDecodeRate = 400.0 // tokens a second, of one answer
	simulationStep      = 10 * time.Millisecond
)

// TestLedgerAgainstSimulatedEngines plays random loads: every Want gets
// exactly one answer, and what the engines hold seldom exceeds their memory,
// though callers guess their outputs badly.
func TestLedgerAgainstSimulatedEngines(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, seed) })
	}
}

func simulate(t *testing.T, seed uint64) {
	const memory = 30000
	rng := rand.New(rand.NewPCG(seed, seed))
	l := New(Options{Pool: "p", Self: requester, Violation: func(name, detail string) { t.Errorf("%s: %s", name, detail) }})
	l.Configure(start-time.Second, document(3, 6, memory))
	books := map[id.Endpoint]*engineState{}
	for i := range 6 {
		books[id.Endpoint(fmt.Sprintf("decode-%d", i))] = &engineState{requests: map[id.Request]*job{}, memory: memory}
	}
	jobs := map[id.Request]*job{}
	answered := map[id.Request]int{}
	asked, over, looks := 0, 0, 0
	take := func(now time.Duration, actions []sched.Action) {
		for _, a := range actions {
			switch {
			case a.Grant != nil:
				answered[a.Grant.Request]++
				j := jobs[a.Grant.Request]
				j.grant = a.Grant
				j.read = now + time.Duration(float64(j.prompt)/30000*float64(time.Second))
			case a.Refusal != nil:
				answered[a.Refusal.Request]++
				delete(jobs, a.Refusal.Request)
			}
		}
	}
	for now := start; now < start+40*time.Second; now += simulationStep {
		if now < start+30*time.Second && rng.Float64() < 0.25 {
			asked++
			name := fmt.Sprint(asked)
			j := &job{prompt: 500 + rng.IntN(6000), output: 100 + rng.IntN(2500)}
			jobs[id.Request(name)] = j
			guess := int(float64(j.output) * math.Exp(0.5*rng.NormFloat64()))
			take(now, l.Want(now, want(name, j.prompt, guess)))
		}
		// In a fixed order, so that a seed always plays the same.
		for _, name := range slices.Sorted(maps.Keys(jobs)) {
			j, there := jobs[name]
			switch {
			case !there: // refused meanwhile
			case j.grant == nil:
			case j.begun == 0 && now >= j.read:
				j.begun = now
				j.ends = now + time.Duration(float64(j.output)/simulatedDecodeRate*float64(time.Second))
				books[j.grant.Decode].requests[name] = j
				take(now, l.Progress(now, done(j.grant, sched.PhaseTransferring)))
				take(now, l.Progress(now, done(j.grant, sched.PhaseDecoding)))
			case j.begun > 0 && now >= j.ends:
				delete(books[j.grant.Decode].requests, name)
				delete(jobs, name)
				take(now, l.Progress(now, done(j.grant, sched.PhaseDone)))
			}
		}
		take(now, l.Tick(now))
		for _, b := range books {
			looks++
			if b.held(now) > b.memory {
				over++
			}
		}
	}
	for name, n := range answered {
		if n != 1 {
			t.Errorf("request %s got %d answers", name, n)
		}
	}
	if len(answered) != asked {
		t.Errorf("%d requests, %d answered", asked, len(answered))
	}
	// Measured: 0.9 to 2.4% over the eight seeds, with guesses that are right at
	// the median and off by a factor of 1.65 at one deviation.
	t.Logf("over their memory at %.2f%% of the looks", 100*float64(over)/float64(looks))
	if share := float64(over) / float64(looks); share > 0.03 {
		t.Errorf("engines were over their memory at %.1f%% of the looks", 100*share)
	}
	if held := l.Snapshot().Held; held != 0 {
		t.Errorf("%d places are held at the end", held)
	}
}

// held is the memory in use, in tokens.
func (b *engineState) held(now time.Duration) int {
	sum := 0
	for _, j := range b.requests {
		sum += j.prompt + int((now-j.begun).Seconds()*simulatedDecodeRate)
	}
	return sum
}
