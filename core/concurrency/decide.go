package concurrency

import (
	"math"
	"time"
)

// decide ends a trial that is certain or has taken its time. Without certainty the higher of
// the two limits is kept, if it completed any more: a limit that is too low turns calls
// away, and one that is too high is found out again.
func (l *Learner) decide(now time.Duration, e *endpoint) {
	t := e.trial
	margin, deviation := e.compare()
	favours := (margin > 0) == t.up()
	better := favours && t.conclusive(now)
	certain := math.Abs(margin) > certainty*deviation && t.arm.took.weight >= leastSamples/2
	switch {
	case certain && better:
		e.finish(now, succeeded)
	case certain && !favours:
		e.finish(now, failed)
	case t.over(now) && better && t.up():
		e.finish(now, succeeded)
	case t.over(now):
		e.finish(now, undecided)
	}
}

// conclusive tells whether a trial may succeed. The requests that end first are the short
// ones, which make any trial look good; until the others have ended it can only fail.
func (t *trial) conclusive(now time.Duration) bool {
	return t.arm.took.weight >= leastSamples && now-t.firstAt >= conclusiveServices*seconds(t.arm.took.mean)
}

// compare returns by how much the higher limit of a trial completes more than it has to, as
// a logarithm, and the standard error of that.
func (e *endpoint) compare() (margin, deviation float64) {
	low, high := &e.trial.arm, &e.near
	if e.trial.up() {
		low, high = high, low
	}
	contrast := high.running.mean - low.running.mean
	margin = high.rate() - low.rate() - leastGained*contrast
	deviation = math.Sqrt(low.took.errorSquared() + high.took.errorSquared())
	return margin, deviation
}

// outcome is how a trial ended.
type outcome uint8

const (
	undecided outcome = iota
	failed
	succeeded
)

// finish ends a trial and takes over its limit if that was better.
func (e *endpoint) finish(now time.Duration, o outcome) {
	t := e.trial
	e.trial = nil
	e.reachedAt, e.settledAt = now, now
	if !t.up() && t.arm.took.weight >= leastSamples {
		e.floor = t.arm.took
		e.floor.memory = floorMemory
	}
	e.check = e.check.next(t.up(), o)
	switch {
	case o == succeeded:
		e.setLimit(t.limit)
		e.near = t.arm
		e.lower.reset(now)
		e.higher.reset(now)
	case t.up() && e.check == noCheck:
		e.higher.postpone(now, 0)
	case !t.up() && o == failed:
		e.lower.postpone(now, lowerInterval)
	case !t.up():
		e.lower.postpone(now, 0)
	}
	e.triedAt = e.near.took.mean
}

// abandonTrial ends a trial as failed.
func (e *endpoint) abandonTrial(now time.Duration) {
	if e.trial != nil {
		e.finish(now, failed)
	}
}
