package sched

import (
	"math"
	"time"
)

const (
	// pressureTimeConstant is the time constant of the decaying counts of grants
	// and refusals.
	pressureTimeConstant = 2 * time.Second
	// maxPressure bounds the factor by which RetryAfter grows.
	maxPressure = 40.0
	// maxOverloadRetryAfter bounds RetryAfter in refusals for lack of capacity.
	maxOverloadRetryAfter = 5 * time.Second
)

// pressure counts recent grants and refusals with exponential decay. When
// refusals outnumber grants, clients that retry at the same moment would repeatedly
// displace new requests. RetryAfter therefore grows with the ratio of refusals to
// grants and is randomized.
type pressure struct {
	grants   float64
	refusals float64
	at       time.Duration
}

func (p *pressure) decay(now time.Duration) {
	keep := math.Exp(-float64(now-p.at) / float64(pressureTimeConstant))
	p.grants *= keep
	p.refusals *= keep
	p.at = now
}

func (p *pressure) granted(now time.Duration) {
	p.decay(now)
	p.grants++
}

func (p *pressure) refused(now time.Duration) {
	p.decay(now)
	p.refusals++
}

// factor returns the number of refusals for each grant, from 1 to maxPressure.
func (p *pressure) factor() float64 {
	return min(max(1, p.refusals/max(1, p.grants)), maxPressure)
}

// retryAfter returns the RetryAfter of a request that is refused for lack of
// capacity; alone is the time until it could be served if it were the only one.
func (l *Ledger) retryAfter(alone time.Duration) time.Duration {
	l.pressure.refused(l.now)
	spread := 0.5 + l.random.Float64()
	advice := seconds(boundRetry(alone).Seconds() * l.pressure.factor() * spread)
	return min(max(advice, minRetryAfter), maxOverloadRetryAfter)
}
