package sched

import (
	"math"
	"time"
)

const (
	// pressureMemory is the time over which grants and refusals are counted.
	pressureTimeConstant = 2 * time.Second
	// maxPressure bounds how far the advice is stretched.
	maxPressure = 40.0
	// maxAdvice bounds the advice to one refused for want of room.
	maxOverloadRetryAfter = 5 * time.Second
)

// pressure counts grants and refusals of late. When more is refused than
// granted, the refused would all come back at the same moment, again and again,
// and crowd out the new: they are told to come back as much later as there are
// more of them, and not all at once.
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

// factor is how many refused requests there are for each granted one, at least 1.
func (p *pressure) factor() float64 {
	return min(max(1, p.refusals/max(1, p.grants)), maxPressure)
}

// comeBack advises a request that is refused for want of room, given when it
// alone could be served.
func (l *Ledger) retryAfter(alone time.Duration) time.Duration {
	l.pressure.refused(l.now)
	spread := 0.5 + l.random.Float64()
	advice := seconds(boundRetry(alone).Seconds() * l.pressure.factor() * spread)
	return min(max(advice, minRetryAfter), maxOverloadRetryAfter)
}
