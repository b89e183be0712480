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
	// initial is the initial estimate: the configured value or a default.
	initial   float64
	mean      float64
	deviation float64
	samples   int
	// sampled is the time of the last sample.
	sampled time.Duration
}

// newAverage starts from an initial estimate with a deviation of a fifth of it.
func newAverage(initial float64) average {
	return average{initial: initial, mean: initial, deviation: initial * smoothing}
}

// add adds a sample. Values that are not positive and finite are ignored.
func (a *average) add(now time.Duration, x float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) || x <= 0 {
		return
	}
	a.deviation += smoothing * (math.Abs(x-a.mean) - a.deviation)
	a.mean += smoothing * (x - a.mean)
	a.samples++
	a.sampled = now
}

// addInitial adds a further initial estimate to the mean of n initial estimates.
func (a *average) addInitial(initial float64, n int) {
	a.initial += (initial - a.initial) / float64(n)
	a.mean += (initial - a.mean) / float64(n)
}

const (
	// decayTimeConstant is the time constant with which an estimate returns to
	// its initial value while no samples arrive. Without the decay, an engine that
	// was slow for a while would never get prompts again.
	decayTimeConstant = 4 * time.Second
	// decayInterval is the least time between two decay steps.
	decayInterval = 500 * time.Millisecond
)

// decay moves the average towards its initial estimate for the time passed, if
// no sample arrived in that time.
func (a *average) decay(now, passed time.Duration) {
	if a.samples == 0 || now-a.sampled < passed {
		return
	}
	gone := 1 - math.Exp(-float64(passed)/float64(decayTimeConstant))
	a.mean += gone * (a.initial - a.mean)
	a.deviation += gone * (smoothing*a.initial - a.deviation)
}

// decayEstimates decays the estimates of the pool and of its endpoints.
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

// origin describes the source of the average: the configuration, or the number
// of samples and the age of the last one.
func (a *average) origin(now time.Duration) string {
	if a.samples == 0 {
		return "configured"
	}
	return fmt.Sprintf("%d samples, the last %v ago", a.samples, (now - a.sampled).Round(time.Millisecond))
}

// serviceEstimate holds the estimates learned from a service's requests.
type serviceEstimate struct {
	// outputRatio is the ratio of measured to estimated output tokens.
	outputRatio average
	// kvPerToken is the size of the KV cache per prompt token, in bytes.
	kvPerToken average
	// callSeconds is the time that a plain call holds its slot.
	callSeconds average
	risk        risk
}

// initialCallSeconds is the initial estimate of a plain call's time, in seconds.
const initialCallSeconds = 0.05

// newServiceEstimate returns the initial estimates.
func newServiceEstimate(o *Options) *serviceEstimate {
	return &serviceEstimate{
		outputRatio: newAverage(1),
		kvPerToken:  newAverage(o.KVBytesPerToken),
		callSeconds: newAverage(initialCallSeconds),
	}
}

// outputTokens predicts the length of an answer, in tokens.
func (s *serviceEstimate) outputTokens(w *Want) float64 {
	return max(1, float64(w.OutputTokens)*s.outputRatio.mean)
}

// outputDeviation returns the deviation of the predicted length, in tokens.
func (s *serviceEstimate) outputDeviation(w *Want) float64 {
	return float64(w.OutputTokens) * s.outputRatio.deviation
}

// kvBytes predicts the size of the exported KV cache, in bytes.
func (s *serviceEstimate) kvBytes(w *Want) float64 {
	return float64(w.PromptTokens) * s.kvPerToken.mean
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
