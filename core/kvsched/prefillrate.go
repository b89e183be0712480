package kvsched

import "time"

const (
	// initialPrefillRate is the initial estimate of the prefill rate, in tokens
	// a second.
	initialPrefillRate = 25000.0
	// initialPrefillWeight is the engine time that the initial estimate counts
	// for: about two prompts.
	initialPrefillWeight = 200 * time.Millisecond
	// prefillRateDecay is the weight of earlier samples in the estimate.
	prefillRateDecay = 0.9
	// idleSlowdownFactor is the factor by which a prefill on an idle engine
	// must be slower than expected for its time to count: the network round
	// trip explains a smaller factor.
	idleSlowdownFactor = 3
)

// prefillRate averages the prefill rate of an engine, as total tokens over
// total time. Two prompts may end within a millisecond of each other; a mean of
// their single rates would be many times too high, and the engine would be
// granted more prompts at once than it can prefill in time.
type prefillRate struct {
	tokens  float64
	seconds float64
}

func newPrefillRate() prefillRate {
	seconds := initialPrefillWeight.Seconds()
	return prefillRate{tokens: initialPrefillRate * seconds, seconds: seconds}
}

// perSecond returns the rate in tokens a second.
func (r *prefillRate) perSecond() float64 { return r.tokens / r.seconds }

// informative reports whether a prefill that found the engine idle is a sample
// of its rate.
func (r *prefillRate) informative(tokens int, took time.Duration) bool {
	expected := float64(tokens) / r.perSecond()
	return took.Seconds() < expected || took.Seconds() > idleSlowdownFactor*expected
}

// add adds the sample of a completed prefill.
func (r *prefillRate) add(tokens int, took time.Duration) {
	r.tokens = prefillRateDecay*r.tokens + float64(tokens)
	r.seconds = prefillRateDecay*r.seconds + max(0, took.Seconds())
}
