package kvsched

import (
	"math"
	"time"
)

const (
	// firstLead is the first estimate of the time beyond the reading of the
	// prompt: the way of the KV cache to the decode engine and the first token.
	initialFirstTokenOverhead = 30 * time.Millisecond
	// leadMemory is the weight that the estimate gives to what was seen before.
	firstTokenDecay = 0.95
	// leadDeviations are added to the mean: of the requests that are granted at
	// the last moment, most shall be in time.
	firstTokenDeviations = 1.0
	// callerWay is the way to the caller and back, which no daemon sees.
	callerRoundTrip = 10 * time.Millisecond
)

// lead learns how long after its grant a request has its first token, beyond
// the reading of its prompt by an engine that nothing is known of: in a burst it
// takes several times as long as on a calm day, and requests that are granted at
// the last moment by a fixed time are late.
type firstToken struct {
	mean, deviation float64
	known           bool
}

// saw takes a request that has its first token.
func (d *firstToken) add(prompt int, took time.Duration) {
	beyond := max(0, (took - initialPrefillTime(prompt)).Seconds())
	if !d.known {
		d.known = true
		d.mean = initialFirstTokenOverhead.Seconds()
	}
	d.deviation = firstTokenDecay*d.deviation + (1-firstTokenDecay)*math.Abs(beyond-d.mean)
	d.mean = firstTokenDecay*d.mean + (1-firstTokenDecay)*beyond
}

// expected is the time from a grant to the first token at its caller.
func (d *firstToken) expected(prompt int) time.Duration {
	if !d.known {
		return initialPrefillTime(prompt) + initialFirstTokenOverhead + callerRoundTrip
	}
	return initialPrefillTime(prompt) + seconds(d.mean+firstTokenDeviations*d.deviation) + callerRoundTrip
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
