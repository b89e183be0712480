package kvsched

import "time"

const (
	// flowMemory is the time over which released memory is averaged.
	releaseRateWindow = 3 * time.Second
	// leastRetryAfter and mostRetryAfter bound the advice to come back.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// flow averages how much memory the pool's requests give back.
type releaseRate struct {
	tokens float64
	at     time.Duration
}

// released takes memory that was given back, in tokens.
func (f *releaseRate) add(now time.Duration, tokens int) {
	f.decay(now)
	f.tokens += float64(tokens)
}

func (f *releaseRate) decay(now time.Duration) {
	gone := float64(now-f.at) / float64(releaseRateWindow)
	f.tokens *= max(0, 1-gone)
	f.at = now
}

// comeBack advises when to come back, by the time that the backlog (in tokens)
// takes to be served.
func (f *releaseRate) retryAfter(now time.Duration, backlog int) time.Duration {
	f.decay(now)
	if f.tokens <= 0 {
		return minRetryAfter
	}
	perSecond := f.tokens / releaseRateWindow.Seconds()
	wait := time.Duration(float64(backlog) / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
