package kvsched

import "time"

const (
	// serviceRateWindow is the time over which the service rate of the queue is
	// averaged.
	serviceRateWindow = time.Second
	// minServiceRatePeriod is how long the queue must have been non-empty
	// without interruption before the measured rate is used.
	minServiceRatePeriod = 300 * time.Millisecond
)

// serviceRate measures how fast the queue is served while requests wait. The
// rate reflects whichever resource is the bottleneck: memory, slots or prefill.
type serviceRate struct {
	// tokens were granted within the busy time; both decay.
	tokens float64
	busy   time.Duration
	// since is when the queue last became non-empty; at is when the time was
	// last counted.
	since, at time.Duration
	waiting   bool
}

// observe counts the time up to now; waiting reports whether any request waits
// from now on.
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

// granted counts the memory of a granted request that had waited, in tokens.
func (d *serviceRate) granted(tokens int) { d.tokens += float64(tokens) }

// predictWait predicts how long it takes to serve a queue of the given size in
// tokens; ok is false if the queue was not observed long enough.
func (d *serviceRate) predictWait(now time.Duration, tokens int) (predictWait time.Duration, ok bool) {
	if !d.waiting || now-d.since < minServiceRatePeriod || d.tokens <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / d.tokens * float64(d.busy)), true
}
