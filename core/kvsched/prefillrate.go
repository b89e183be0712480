package kvsched

import "time"

const (
	// firstPrefillRate is the first estimate of a prefill, in tokens a second.
	initialPrefillRate = 25000.0
	// firstPrefillWeight is how much work the first estimate counts for: about
	// two prompts.
	initialPrefillWeight = 200 * time.Millisecond
	// rateMemory is the weight that the estimate gives to what was seen before.
	prefillRateDecay = 0.9
	// farWorse is the factor by which an idle engine's rate must fall short of
	// what is known of it to count: the way there and back explains less.
	idleSlowdownFactor = 3
)

// prefillRate averages how fast an engine reads prompts, as all tokens over all
// time: two prompts may end within a millisecond of each other, and a mean of
// single rates then comes out many times too high, and engines are given more
// prompts at once than they read in time.
type prefillRate struct {
	tokens  float64
	seconds float64
}

func newPrefillRate() prefillRate {
	seconds := initialPrefillWeight.Seconds()
	return prefillRate{tokens: initialPrefillRate * seconds, seconds: seconds}
}

// perSecond is the rate in tokens a second.
func (r *prefillRate) perSecond() float64 { return r.tokens / r.seconds }

// telling says whether the read of an idle engine tells of its rate.
func (r *prefillRate) informative(tokens int, took time.Duration) bool {
	expected := float64(tokens) / r.perSecond()
	return took.Seconds() < expected || took.Seconds() > idleSlowdownFactor*expected
}

// read takes a prompt that was read.
func (r *prefillRate) add(tokens int, took time.Duration) {
	r.tokens = prefillRateDecay*r.tokens + float64(tokens)
	r.seconds = prefillRateDecay*r.seconds + max(0, took.Seconds())
}
