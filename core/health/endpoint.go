package health

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.2

// endpoint is what is known of one endpoint.
type endpoint struct {
	Member
	state State
	// good and bad are decayed counts of outcomes, as of countedAt.
	successes, failures float64
	countedAt           time.Duration
	// latency is a moving average, in nanoseconds; 0 if unknown.
	latency float64
	samples int
	// inFlight holds when each piece of work is overdue.
	inFlight map[id.Request]time.Duration
	// progress is when work last gave a token or ended well.
	lastProgress time.Duration
	// until is the end of the ejection.
	ejectedUntil time.Duration
	// ejections counts them, for the doubling; it decays in health.
	ejections int
	// healthy is since when the endpoint is healthy.
	healthySince time.Duration
	probes       int
}

// decay brings the counts up to now.
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

// stuck says whether work is overdue and none has made progress for a while.
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

// forget drops what was learnt before an ejection ended.
func (e *endpoint) resetStats() {
	e.successes, e.failures = 0, 0
	e.latency, e.samples = 0, 0
	e.probes = 0
}
