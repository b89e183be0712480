// Package overload replays loads against the scheduler of a pool, without
// sockets and clocks: callers that arrive in patterns, leave, wait as told and
// come back, and engines modelled from their published figures. The same seed
// gives the same result, so that what a policy is worth under a load is a test.
package overload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Burst multiplies the arrivals for a while.
type Burst struct {
	At, For time.Duration
	Factor  float64
}

// Load is a pattern of arrivals.
type Load struct {
	// Length of the arrivals.
	Length time.Duration
	// PerSecond is the rate without bursts; Bursts multiply it, one on top of
	// another.
	PerSecond float64
	Bursts    []Burst
	// Prompt and Output are the mean sizes, in tokens; Spread is the deviation
	// of their logarithms, and Most bounds both as a multiple of the mean.
	Prompt, Output           float64
	SizeDeviation, MaxFactor float64
	// GuessError is the deviation of the logarithm of a guess against the truth.
	GuessError float64
}

// arrival is one caller's request.
type arrival struct {
	at             time.Duration
	prompt, output int
	guess          int
}

// arrivals draws the arrivals of a load.
func (l *Load) arrivals(rng *rand.Rand) []arrival {
	var out []arrival
	for at := time.Duration(0); at < l.Length; {
		rate := l.rate(at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		a := arrival{at: at, prompt: l.size(rng, l.Prompt), output: l.size(rng, l.Output)}
		a.guess = max(1, int(float64(a.output)*math.Exp(l.GuessError*rng.NormFloat64())))
		out = append(out, a)
	}
	return out
}

// rate is the arrivals a second at a moment.
func (l *Load) rate(at time.Duration) float64 {
	rate := l.PerSecond
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For {
			rate *= b.Factor
		}
	}
	return rate
}

func (l *Load) size(rng *rand.Rand, mean float64) int {
	factor := math.Exp(l.SizeDeviation*rng.NormFloat64() - l.SizeDeviation*l.SizeDeviation/2)
	return max(1, int(mean*min(factor, l.MaxFactor)))
}

// Callers are how callers behave.
type Callers struct {
	// Target is when a first event is expected, Patience when a caller without
	// one leaves, Deadline when it wants no answer any more.
	Target, Patience, Deadline time.Duration
	// Pause is the longest pause between events that is still in time.
	Pause time.Duration
	// Returns is how often a refused caller comes back, and WaitShare the share
	// of its time left for which it waits at most as it was told to.
	Retries   int
	WaitShare float64
	// ServicePatience is the service's own; 0 for the default.
	ServicePatience time.Duration
	// AtOnce callers come back at once, whatever they are told: a share of all.
	AtOnce float64
}

// Engines are a pool's engines.
type Engines struct {
	Prefills, Decodes int
	// Batch is how many requests an engine runs at once, Memory its tokens.
	Batch, Memory int
	// Step is the time that a decode step takes, and StepEach what each request
	// adds to it.
	Step, StepEach time.Duration
	// PrefillRate is in tokens a second; a decode engine reads at half of it.
	PrefillRate float64
	// Transfer is the time of a KV cache's way and the first token.
	Transfer time.Duration
	// Slow are the times in which all of them are slow, one at a time.
	Slowdowns []Slowdown
}

// Slowness multiplies the time of all that engines do.
type Slowdown struct {
	At, For time.Duration
	Factor  float64
}
