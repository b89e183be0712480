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
	// lowerInterval is the least time between trials downward once one has clearly failed:
	// an endpoint that takes longer with more requests and completes more is sound.
	lowerInterval = 8 * time.Second
	// paceChange is the factor in the time in service from which an endpoint has changed.
	paceChange = 1.6
)

// schedule says when an endpoint is due for its next trial in one direction.
type schedule struct {
	next     time.Duration
	interval time.Duration
	// failures counts the trials that have failed in a row.
	failures int
}

// postpone puts the next trial off, by the least time at least.
func (s *schedule) postpone(now, least time.Duration) {
	s.interval = max(s.interval, firstInterval, least)
	s.next = now + s.interval
	s.interval = min(2*s.interval, lastInterval)
	s.failures++
}

// reset makes a trial due at once.
func (s *schedule) reset(now time.Duration) { *s = schedule{next: now} }

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
	if e.lower.failures+e.higher.failures == 0 {
		return
	}
	change := math.Abs(e.near.took.mean - e.triedAt)
	if change > math.Log(paceChange)+math.Sqrt(e.near.took.errorSquared()) {
		e.lower.reset(now)
		e.higher.reset(now)
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
func (c check) next(up bool, o outcome) check {
	switch {
	case o == succeeded && !up:
		return checkHigher
	case o != succeeded && c == checkHigher:
		return checkLower
	default:
		return noCheck
	}
}
