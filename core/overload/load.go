// Package overload replays loads against the scheduler of a pool, without
// sockets and clocks: callers that arrive in patterns, leave, wait for the
// advised delay and retry, and engines modelled on their published figures. The
// same seed gives the same result, so that the effect of a policy under a load
// can be tested.
package overload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Burst multiplies the arrival rate for a time.
type Burst struct {
	At, For time.Duration
	Factor  float64
}

// Load is a pattern of arrivals.
type Load struct {
	// Length is the time in which requests arrive.
	Length time.Duration
	// PerSecond is the arrival rate without bursts; the factors of overlapping
	// Bursts multiply.
	PerSecond float64
	Bursts    []Burst
	// Prompt and Output are the mean sizes, in tokens; SizeDeviation is the
	// standard deviation of their logarithms, and MaxFactor bounds both as a
	// multiple of the mean.
	Prompt, Output           float64
	SizeDeviation, MaxFactor float64
	// GuessError is the standard deviation of the logarithm of a guess relative
	// to the actual size.
	GuessError float64
	// Kinds are the kinds of request, drawn by their shares; empty for one kind with the
	// callers' target.
	Kinds []Kind
}

// Kind is one kind of request.
type Kind struct {
	// Share is the kind's share of the arrivals; the shares sum to 1.
	Share    float64
	Priority int
	// Target is the time until the first event is due.
	Target time.Duration
	// Worth is what an answer in time of mean size is worth, LateWorth what a late one is.
	Worth, LateWorth float64
}

// arrival is one caller's request.
type arrival struct {
	at             time.Duration
	prompt, output int
	guess          int
	// kind is the index of the request's kind; 0 without kinds.
	kind int
}

// arrivals draws random arrivals of a load.
func (l *Load) arrivals(rng *rand.Rand) []arrival {
	var out []arrival
	for at := time.Duration(0); at < l.Length; {
		rate := l.rate(at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		a := arrival{at: at, prompt: l.size(rng, l.Prompt), output: l.size(rng, l.Output)}
		a.guess = max(1, int(float64(a.output)*math.Exp(l.GuessError*rng.NormFloat64())))
		a.kind = l.drawKind(rng)
		out = append(out, a)
	}
	return out
}

// drawKind draws the kind of an arrival.
func (l *Load) drawKind(rng *rand.Rand) int {
	if len(l.Kinds) == 0 {
		return 0
	}
	at := rng.Float64()
	for i, k := range l.Kinds {
		at -= k.Share
		if at < 0 {
			return i
		}
	}
	return len(l.Kinds) - 1
}

// rate returns the arrivals a second at a time.
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

// Callers describes how callers behave.
type Callers struct {
	// Target is the time until the first event is due, Patience the time after
	// which a caller without a first event leaves, and Deadline the time after
	// which it accepts no answer.
	Target, Patience, Deadline time.Duration
	// Pause is the longest pause between events with which an answer counts as
	// in time; 0 for no bound.
	Pause time.Duration
	// Retries is how often a refused caller retries. It waits for the advised
	// delay, but at most for WaitShare of the time it has left.
	Retries   int
	WaitShare float64
	// ServicePatience is the patience configured for the service; 0 for the
	// default.
	ServicePatience time.Duration
	// AtOnce is the share of callers that retry at once, ignoring the advised
	// delay.
	AtOnce float64
}

// Engines describes the engines of a pool.
type Engines struct {
	Prefills, Decodes int
	// Batch is how many requests an engine runs at once; Memory is its memory
	// in tokens.
	Batch, Memory int
	// Step is the time of a decode step, and StepEach the time that each
	// request adds to it.
	Step, StepEach time.Duration
	// PrefillRate is in tokens a second; a decode engine prefills at half of
	// it.
	PrefillRate float64
	// Transfer is the time of a KV cache transfer and the first token.
	Transfer time.Duration
	// Slowdowns are the periods in which all engines are slow; they must not
	// overlap.
	Slowdowns []Slowdown
	// Lossy is a time in which some decode engines lose answers; zero for none.
	Lossy Lossy
}

// Lossy is a time in which the decode engines of even number, or all of them, lose a share of
// the answers that they begin: the connection is reset at the first event.
type Lossy struct {
	At, For time.Duration
	Share   float64
	All     bool
}

// Slowdown multiplies the time of everything that engines do.
type Slowdown struct {
	At, For time.Duration
	Factor  float64
}
