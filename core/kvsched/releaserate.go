package kvsched

import "time"

const (
	// releaseRateWindow is the time over which released memory is averaged.
	releaseRateWindow = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the advised retry delay.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// releaseRate averages how much memory the pool's completed requests release.
type releaseRate struct {
	tokens float64
	at     time.Duration
}

// add counts released memory, in tokens.
func (f *releaseRate) add(now time.Duration, tokens int) {
	f.decay(now)
	f.tokens += float64(tokens)
}

func (f *releaseRate) decay(now time.Duration) {
	gone := float64(now-f.at) / float64(releaseRateWindow)
	f.tokens *= max(0, 1-gone)
	f.at = now
}

// retryAfter advises a retry delay: the time it takes to serve the backlog,
// which is in tokens.
func (f *releaseRate) retryAfter(now time.Duration, backlog int) time.Duration {
	f.decay(now)
	if f.tokens <= 0 {
		return minRetryAfter
	}
	perSecond := f.tokens / releaseRateWindow.Seconds()
	wait := time.Duration(float64(backlog) / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
