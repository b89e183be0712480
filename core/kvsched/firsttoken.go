package kvsched

import (
	"math"
	"time"
)

const (
	// initialFirstTokenOverhead is the initial estimate of the time to first
	// token beyond prefill: the transfer of the KV cache to the decode engine
	// and the first decode step.
	initialFirstTokenOverhead = 30 * time.Millisecond
	// firstTokenDecay is the weight of earlier samples in the estimate.
	firstTokenDecay = 0.95
	// firstTokenDeviations is how many mean deviations are added to the mean,
	// so that most requests granted at the last moment are in time.
	firstTokenDeviations = 1.0
	// callerRoundTrip is the network round trip to the caller, which no daemon
	// can measure.
	callerRoundTrip = 10 * time.Millisecond
)

// firstToken estimates the time from a grant to the first token, beyond the
// prefill at the initial rate. In a burst this time is several times as long as
// under normal load, and with a fixed estimate the requests granted at the last
// moment are late.
type firstToken struct {
	mean, deviation float64
	known           bool
}

// add adds the sample of a request that has its first token.
func (d *firstToken) add(prompt int, took time.Duration) {
	overhead := max(0, (took - initialPrefillTime(prompt)).Seconds())
	if !d.known {
		d.known = true
		d.mean = initialFirstTokenOverhead.Seconds()
	}
	d.deviation = firstTokenDecay*d.deviation + (1-firstTokenDecay)*math.Abs(overhead-d.mean)
	d.mean = firstTokenDecay*d.mean + (1-firstTokenDecay)*overhead
}

// expected returns the expected time from the grant until the caller has the
// first token.
func (d *firstToken) expected(prompt int) time.Duration {
	if !d.known {
		return initialPrefillTime(prompt) + initialFirstTokenOverhead + callerRoundTrip
	}
	return initialPrefillTime(prompt) + seconds(d.mean+firstTokenDeviations*d.deviation) + callerRoundTrip
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
