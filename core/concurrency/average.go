package concurrency

import (
	"math"
	"time"
)

// average is a moving mean and variance. Old values lose weight by time and by newer values.
type average struct {
	// memory is the time after which a value has lost 63% of its weight.
	memory time.Duration
	// most bounds the weight: the number of values that the average remembers.
	most float64

	weight, mean, variance float64
	at                     time.Duration
}

// add adds a value.
func (a *average) add(now time.Duration, x float64) {
	a.weight = min(a.weightAt(now), a.most-1) + 1
	a.at = now
	before := x - a.mean
	a.mean += before / a.weight
	a.variance += (before*(x-a.mean) - a.variance) / a.weight
}

// weightAt is the number of values behind the mean, as far as they have not aged.
func (a *average) weightAt(now time.Duration) float64 {
	if a.weight == 0 {
		return 0
	}
	return a.weight * decay(now-a.at, a.memory)
}

// errorSquared is the squared standard error of the mean.
func (a *average) errorSquared() float64 {
	return max(a.variance, leastVariance) / max(a.weight, 1)
}

// leastVariance is the least variance that the logarithm of a time in service is thought to
// have: a few equal times are no certainty.
const leastVariance = 0.2

// decay is the share that is left of something after a time.
func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(memory))
}
