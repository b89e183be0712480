package kvsched

import "time"

const (
	// drainMemory is the time over which the queue's rate of service is averaged.
	serviceRateWindow = time.Second
	// drainLeast is how long the queue must have been served without a break
	// before the rate is believed.
	minServiceRatePeriod = 300 * time.Millisecond
)

// drain measures how fast the queue is served while somebody waits: all that
// binds, memory, places or prefill, shows in it.
type serviceRate struct {
	// tokens were granted within busy time, both fading.
	tokens float64
	busy   time.Duration
	// since is when the present time of waiting began, at when it was counted.
	since, at time.Duration
	waiting   bool
}

// look counts the time up to now; waiting says whether somebody waits from now on.
func (d *serviceRate) observe(now time.Duration, waiting bool) {
	if d.waiting {
		passed := now - d.at
		keep := max(0, 1-float64(passed)/float64(serviceRateWindow))
		d.tokens *= keep
		d.busy = time.Duration(keep*float64(d.busy)) + passed
	}
	if waiting && !d.waiting {
		d.since = now
		d.tokens, d.busy = 0, 0
	}
	d.waiting = waiting
	d.at = now
}

// granted counts the memory of a request that waited.
func (d *serviceRate) granted(tokens int) { d.tokens += float64(tokens) }

// wait predicts how long a queue of so many tokens takes; ok is false where too
// little was seen.
func (d *serviceRate) predictWait(now time.Duration, tokens int) (predictWait time.Duration, ok bool) {
	if !d.waiting || now-d.since < minServiceRatePeriod || d.tokens <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / d.tokens * float64(d.busy)), true
}
