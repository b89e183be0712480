package concurrency

import (
	"math"
	"time"
)

const (
	// firstInterval is the time between two trials of an endpoint; it doubles up to
	// lastInterval with each that fails.
	firstInterval = 500 * time.Millisecond
	lastInterval  = 16 * time.Second
	// paceChange is the factor in the time in service from which an endpoint has changed.
	paceChange = 1.6
)

// schedule says when an endpoint is due for its next trial.
type schedule struct {
	next     time.Duration
	interval time.Duration
	// failures counts the trials that have failed in a row, took is the logarithm of the
	// time in service near the limit when the last one did.
	failures int
	took     float64
}

func (s *schedule) failed(now time.Duration, took float64) {
	s.next = now + s.interval
	s.interval = min(2*s.interval, lastInterval)
	s.failures++
	s.took = took
}

func (s *schedule) succeeded(now time.Duration) {
	s.next = now
	s.interval = firstInterval
	s.failures = 0
}

// step is the part of the limit by which the next trial upward exceeds it. Behind a large
// step that failed there may be a small one that does not: 0 stands for one request.
func (s *schedule) step() float64 {
	if s.failures%2 == 1 {
		return 0
	}
	return upStep
}

// noticeChange makes trials due again once the endpoint's speed has changed: what the
// failed ones have shown no longer holds.
func (e *endpoint) noticeChange(now time.Duration) {
	if e.trials.failures == 0 {
		return
	}
	change := math.Abs(e.near.took.mean - e.trials.took)
	if change > math.Log(paceChange)+math.Sqrt(e.near.took.errorSquared()) {
		e.trials = schedule{next: now, interval: firstInterval}
	}
}

// check is a trial that follows another one at once.
type check uint8

const (
	noCheck check = iota
	// checkHigher follows a limit that was lowered: the endpoint may have become faster
	// during the trial by itself, and then a higher limit is as good as it was before.
	checkHigher
	// checkLower follows when it is not: a still lower limit may be better.
	checkLower
)

// next returns the check that follows a trial.
func (c check) next(up, better bool) check {
	switch {
	case better && !up:
		return checkHigher
	case !better && c == checkHigher:
		return checkLower
	default:
		return noCheck
	}
}
