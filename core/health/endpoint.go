package health

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.2

// endpoint is the record of one endpoint.
type endpoint struct {
	Member
	state State
	// successes and failures are decayed counts of outcomes, as of countedAt.
	successes, failures float64
	countedAt           time.Duration
	// latency is a moving average, in nanoseconds; 0 if unknown.
	latency float64
	samples int
	// inFlight holds the time from which each piece of work is overdue.
	inFlight map[id.Request]time.Duration
	// lastProgress is the time at which work last produced output or succeeded.
	lastProgress time.Duration
	// ejectedUntil is the end of the ejection.
	ejectedUntil time.Duration
	// ejections counts the ejections, for the doubling; it decays while the
	// endpoint is healthy.
	ejections int
	// healthySince is the time at which the endpoint last became healthy.
	healthySince time.Duration
	probes       int
	// losses is the evidence that the endpoint loses more work than its peers.
	losses evidence
}

// decay reduces the outcome counts by their age at now.
func (e *endpoint) decay(now, halfLife time.Duration) {
	if now <= e.countedAt {
		return
	}
	factor := math.Exp2(-float64(now-e.countedAt) / float64(halfLife))
	e.successes *= factor
	e.failures *= factor
	e.countedAt = now
}

func (e *endpoint) addLatency(l time.Duration) {
	if l <= 0 {
		return
	}
	e.samples++
	if e.samples == 1 {
		e.latency = float64(l)
		return
	}
	e.latency += latencyWeight * (float64(l) - e.latency)
}

// stuck reports whether work is overdue and no work has made progress for quiet.
func (e *endpoint) stuck(now, quiet time.Duration) bool {
	if now-e.lastProgress < quiet {
		return false
	}
	for _, due := range e.inFlight {
		if now >= due {
			return true
		}
	}
	return false
}

// resetStats clears the statistics when an ejection begins.
func (e *endpoint) resetStats() {
	e.successes, e.failures = 0, 0
	e.latency, e.samples = 0, 0
	e.probes = 0
}
