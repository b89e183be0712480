package standin

import "time"

// lagged shows a value as it was some time ago.
type lagged[T any] struct {
	lag     time.Duration
	history []timestamped[T]
}

// stamped is a value and when it was set.
type timestamped[T any] struct {
	at    time.Time
	value T
}

// newLagged starts with a value that is visible at once.
func newLagged[T any](lag time.Duration, value T) *lagged[T] {
	return &lagged[T]{lag: lag, history: []timestamped[T]{{value: value}}}
}

// set notes a new value.
func (l *lagged[T]) set(now time.Time, value T) {
	l.history = append(l.history, timestamped[T]{at: now, value: value})
	l.prune(now)
}

// get returns the value that was current a lag ago.
func (l *lagged[T]) get(now time.Time) T {
	l.prune(now)
	return l.history[0].value
}

// prune drops all values before the one that is visible at now.
func (l *lagged[T]) prune(now time.Time) {
	visible := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.history) && !l.history[first+1].at.After(visible) {
		first++
	}
	l.history = l.history[first:]
}
