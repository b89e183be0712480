package sched

import (
	"fmt"
	"math"
	"time"
)

// smoothing is the weight of a new sample in the moving averages.
const smoothing = 0.2

// average is an exponentially weighted moving average with its mean deviation.
type average struct {
	// first is the first estimate: the configuration's, or a default.
	initial   float64
	mean      float64
	deviation float64
	samples   int
	// sampled is when the last sample was taken.
	sampled time.Duration
}

// newAverage starts from a first estimate, trusted to a fifth of its size.
func newAverage(first float64) average {
	return average{initial: first, mean: first, deviation: first * smoothing}
}

// add takes a sample.
func (a *average) add(now time.Duration, x float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) || x <= 0 {
		return
	}
	a.deviation += smoothing * (math.Abs(x-a.mean) - a.deviation)
	a.mean += smoothing * (x - a.mean)
	a.samples++
	a.sampled = now
}

// join takes a further first estimate into the mean of n of them.
func (a *average) addInitial(first float64, n int) {
	a.initial += (first - a.initial) / float64(n)
	a.mean += (first - a.mean) / float64(n)
}

const (
	// relaxAfter is the time in which an estimate goes back most of the way to
	// the first one while no sample comes. Without it an engine that was slow for
	// a while gets no prompts for good.
	decayTimeConstant = 4 * time.Second
	// relaxEvery is how often that is looked at.
	decayInterval = 500 * time.Millisecond
)

// relax lets the average go back to its first estimate for the time that has
// passed, if no sample came in it.
func (a *average) decay(now, passed time.Duration) {
	if a.samples == 0 || now-a.sampled < passed {
		return
	}
	gone := 1 - math.Exp(-float64(passed)/float64(decayTimeConstant))
	a.mean += gone * (a.initial - a.mean)
	a.deviation += gone * (smoothing*a.initial - a.deviation)
}

// relax lets the estimates of the pool and its endpoints grow old.
func (l *Ledger) decayEstimates() {
	passed := l.now - l.decayedAt
	if passed < decayInterval {
		return
	}
	l.decayedAt = l.now
	l.pool.decay(l.now, passed)
	for _, e := range l.endpoints {
		e.prefillRate.decay(l.now, passed)
		e.tokenTime.decay(l.now, passed)
	}
}

// origin tells what the average rests on.
func (a *average) origin(now time.Duration) string {
	if a.samples == 0 {
		return "configured"
	}
	return fmt.Sprintf("%d samples, the last %v ago", a.samples, (now - a.sampled).Round(time.Millisecond))
}

// serviceEstimate is what is learned about a service's requests.
type serviceEstimate struct {
	// outputRatio is measured output over estimated output.
	outputRatio average
	// kvPerToken is the KV cache's size per prompt token, in bytes.
	kvPerToken average
	// callSeconds is the time that a plain call holds its slot.
	callSeconds average
	risk        risk
}

// firstCallSeconds is the first estimate of a plain call's time, in seconds.
const firstCallSeconds = 0.05

// newServiceEstimate starts from the options' defaults.
func newServiceEstimate(o *Options) *serviceEstimate {
	return &serviceEstimate{
		outputRatio: newAverage(1),
		kvPerToken:  newAverage(o.KVBytesPerToken),
		callSeconds: newAverage(firstCallSeconds),
	}
}

// outputTokens predicts the length of an answer.
func (s *serviceEstimate) outputTokens(w *Want) float64 {
	return max(1, float64(w.OutputTokens)*s.outputRatio.mean)
}

// outputDeviation predicts how far the length may be off, in tokens.
func (s *serviceEstimate) outputDeviation(w *Want) float64 {
	return float64(w.OutputTokens) * s.outputRatio.deviation
}

// kvBytes predicts the size of the exported KV cache.
func (s *serviceEstimate) kvBytes(w *Want) float64 {
	return float64(w.PromptTokens) * s.kvPerToken.mean
}

// seconds converts a count of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
