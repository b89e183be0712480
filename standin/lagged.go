package standin

import "time"

// lagged is a value whose changes become visible after a fixed lag.
type lagged[T any] struct {
	lag     time.Duration
	history []timestamped[T]
}

// timestamped is a value and the time at which it was set.
type timestamped[T any] struct {
	at    time.Time
	value T
}

// newLagged returns a lagged value whose first value is visible immediately.
func newLagged[T any](lag time.Duration, value T) *lagged[T] {
	return &lagged[T]{lag: lag, history: []timestamped[T]{{value: value}}}
}

// set records a new value at a time.
func (l *lagged[T]) set(now time.Time, value T) {
	l.history = append(l.history, timestamped[T]{at: now, value: value})
	l.prune(now)
}

// get returns the value that was current one lag before now.
func (l *lagged[T]) get(now time.Time) T {
	l.prune(now)
	return l.history[0].value
}

// prune drops all values older than the one that is visible at now.
func (l *lagged[T]) prune(now time.Time) {
	visible := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.history) && !l.history[first+1].at.After(visible) {
		first++
	}
	l.history = l.history[first:]
}
