package callsched

import (
	"math"
	"time"
)

const (
	// paceSmoothing is the weight of a new sample in a service's pace.
	paceSmoothing = 0.05
	// initialDeviation is assumed while a service has no samples.
	initialDeviation = 0.5
	// maxPaceRatio bounds a sample's ratio: one call that hangs must not make all others
	// look slow.
	maxPaceRatio = 20
)

// pace compares the calls of one service with the times in service that the limiter expects
// of the pool's endpoints: services of one pool may differ.
type pace struct {
	// ratio is the mean of the measured over the expected time, deviation the mean
	// absolute difference from it.
	ratio, deviation float64
	samples          int
}

// add adds the time in service of a completed call.
func (p *pace) add(took, expected time.Duration) {
	ratio := min(maxPaceRatio, float64(took)/float64(max(minExpected, expected)))
	p.samples++
	weight := max(paceSmoothing, 1/float64(p.samples))
	if p.samples == 1 {
		p.ratio, p.deviation = 1, initialDeviation
	}
	p.ratio += weight * (ratio - p.ratio)
	p.deviation += paceSmoothing * (math.Abs(ratio-p.ratio) - p.deviation)
}

// scale returns the expected time of a call of this service, given that of the endpoint.
func (p *pace) scale(expected time.Duration) time.Duration {
	if p.samples == 0 {
		return expected
	}
	return time.Duration(p.ratio * float64(expected))
}

// spread returns the deviation of the time of a call of this service.
func (p *pace) spread(expected time.Duration) time.Duration {
	if p.samples == 0 {
		return time.Duration(initialDeviation * float64(expected))
	}
	return time.Duration(p.deviation * float64(expected))
}
