package concurrency

import (
	"math"
	"time"
)

const (
	// floorMemory and floorSamples bound what is remembered of an endpoint that is not
	// crowded: it has to last through a burst.
	floorMemory  = 30 * time.Second
	floorSamples = 32
	// floorLeast is the number of samples from which the floor is used, floorKnown that
	// from which there is no need for another one.
	floorLeast = 2.5
	floorKnown = 6
	// nearMemory and nearSamples bound the samples that a trial is compared with: they
	// have to be of the same time as the trial, and enough where calls are rare.
	nearMemory  = 3 * time.Second
	nearSamples = 24
	// leastSamples is the least number of samples on either side of a comparison.
	leastSamples = 4
	// fullSamples is the number of samples from which an endpoint is known to be full all
	// the time, fullShare the share of them that were sent near the limit.
	fullSamples = 10
	fullShare   = 0.9
	// suspicion is the factor above the floor from which a time in service looks like
	// the effect of too many in flight.
	suspicion = 1.6
	// certainty is how many standard errors decide a trial.
	certainty = 1.6
	// leastGained is the share of the additional requests in flight that has to come out
	// as additional completions for the higher limit to be worth it.
	leastGained = 0.35
	// upStep is the part of a limit by which a trial upward exceeds it.
	upStep = 0.5
	// shortTrial and longTrial bound a trial; trialServices is its length in times in
	// service between them.
	shortTrial    = 400 * time.Millisecond
	longTrial     = 2 * time.Second
	trialServices = 6
	// conclusiveServices is how many times in service a trial needs before it succeeds.
	conclusiveServices = 2
	// checkWithin is how long after a trial its check still belongs to it.
	checkWithin = 2 * time.Second
	// endpointsPerTrial is how many endpoints there are for each trial at a time.
	endpointsPerTrial = 8
)

// arm is one side of a comparison: samples at about the same number in flight.
type arm struct {
	inFlight, took average
}

func newArm() arm {
	a := average{memory: nearMemory, most: nearSamples}
	return arm{inFlight: a, took: a}
}

func (a *arm) add(now time.Duration, inFlight int, logTook float64) {
	a.inFlight.add(now, math.Log(float64(max(1, inFlight))))
	a.took.add(now, logTook)
}

// rate is the logarithm of the completions a second: the number in flight by the time in
// service. Unlike a count of completions it does not depend on demand.
func (a *arm) rate() float64 { return a.inFlight.mean - a.took.mean }

// trial runs an endpoint at another limit for a short time.
type trial struct {
	limit     int
	from      int
	startedAt time.Duration
	endsAt    time.Duration
	arm       arm
	// firstAt is when the first request of the trial ended.
	firstAt time.Duration
}

func (t *trial) add(now time.Duration, inFlight int, logTook float64) {
	if t.arm.took.weight == 0 {
		t.firstAt = now
	}
	t.arm.add(now, inFlight, logTook)
}

func (t *trial) up() bool { return t.limit > t.from }

func (t *trial) over(now time.Duration) bool { return now >= t.endsAt }

// observe adds a sample to the trial or to the samples near the limit, decides the trial
// once it can be, and begins one where there is a reason.
func (l *Learner) observe(now time.Duration, e *endpoint, s Sample, logTook float64) {
	if t := e.trial; t != nil {
		if t.accepts(now, s) {
			t.add(now, s.InFlight, logTook)
		}
		l.decide(now, e)
		return
	}
	if now-s.Took < e.settledAt {
		return
	}
	if nearLimit(s.InFlight, l.settled(now, e)) {
		e.near.add(now, s.InFlight, logTook)
		e.full.add(now, 1)
		e.noticeChange(now)
	} else {
		e.full.add(now, 0)
	}
	l.begin(now, e)
}

// nearLimit tells whether a number in flight is close enough to a limit to speak for it.
func nearLimit(inFlight, limit int) bool { return 4*inFlight >= 3*limit }

// accepts tells whether a sample was sent under the trial's limit, and close to it.
func (t *trial) accepts(now time.Duration, s Sample) bool {
	if now-s.Took < t.startedAt {
		return false
	}
	if t.up() {
		return s.InFlight > t.from
	}
	return s.InFlight <= t.limit && nearLimit(s.InFlight, t.limit)
}

// begin starts a trial if the endpoint is due for one and no other runs.
func (l *Learner) begin(now time.Duration, e *endpoint) {
	if now < e.trials.next || e.near.took.weightAt(now) < leastSamples {
		return
	}
	limit := l.settled(now, e)
	target := l.target(now, e, limit)
	if target == limit || !l.trialFree(now, target > limit) {
		return
	}
	length := min(max(shortTrial, trialServices*seconds(e.near.took.mean)), longTrial)
	e.trial = &trial{limit: target, from: limit, startedAt: now, endsAt: now + length, arm: newArm()}
}

// target returns the limit to try next, or the limit that there is.
func (l *Learner) target(now time.Duration, e *endpoint, limit int) int {
	if now-e.settledAt > checkWithin {
		e.check = noCheck
	}
	switch {
	case limit > 1 && (e.check == checkLower || e.check == noCheck && l.looksCrowded(now, e)):
		return (limit + 1) / 2
	case limit < l.ceiling(e) && e.reachedAt == now:
		step := int(math.Ceil(float64(limit) * e.trials.step()))
		return min(l.ceiling(e), limit+max(1, step))
	default:
		return limit
	}
}

// trialFree tells whether another trial in the same direction may begin: one that fails
// costs its endpoint some of its capacity, and only few endpoints may lose any.
func (l *Learner) trialFree(now time.Duration, up bool) bool {
	running := 0
	for _, e := range l.order {
		if t := e.trial; t != nil && !t.over(now) && t.up() == up {
			running++
		}
	}
	return running < max(1, len(l.order)/endpointsPerTrial)
}

// looksCrowded tells whether the time in service near the limit is far above that of the
// endpoint when it has little to do. Where that is not known it is compared with the peers,
// and an endpoint that never has little to do is tried in any case.
func (l *Learner) looksCrowded(now time.Duration, e *endpoint) bool {
	if e.slowerThan(e.floor.mean, e.floor.errorSquared()) && e.floor.weightAt(now) >= floorLeast {
		return true
	}
	if e.floor.weightAt(now) >= floorKnown || e.limit < float64(e.Slots) {
		return false
	}
	return e.alwaysFull(now) || e.slowerThan(l.usual(now).base, 0)
}

// slowerThan tells whether requests near the limit certainly take much longer than a time,
// given as a logarithm with its squared standard error.
func (e *endpoint) slowerThan(logTime, errorSquared float64) bool {
	deviation := math.Sqrt(e.near.took.errorSquared() + errorSquared)
	return e.near.took.mean-logTime > math.Log(suspicion)+deviation
}

// alwaysFull tells whether nearly all requests of late were sent near the limit.
func (e *endpoint) alwaysFull(now time.Duration) bool {
	return e.full.weightAt(now) >= fullSamples && e.full.mean >= fullShare
}

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
	case certain && (better || !favours):
		e.finish(now, better)
	case t.over(now):
		e.finish(now, better && t.up())
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
	contrast := high.inFlight.mean - low.inFlight.mean
	margin = high.rate() - low.rate() - leastGained*contrast
	deviation = math.Sqrt(low.took.errorSquared() + high.took.errorSquared())
	return margin, deviation
}

// finish ends a trial and takes over its limit if it was better.
func (e *endpoint) finish(now time.Duration, better bool) {
	t := e.trial
	e.trial = nil
	e.reachedAt, e.settledAt = now, now
	if !t.up() && t.arm.took.weight >= leastSamples {
		e.floor = t.arm.took
		e.floor.memory = floorMemory
	}
	e.check = e.check.next(t.up(), better)
	switch {
	case better:
		e.limit = float64(t.limit)
		e.near = t.arm
		e.trials.succeeded(now)
	case e.check == noCheck:
		e.trials.failed(now, e.near.took.mean)
	}
}

// abandonTrial ends a trial as failed.
func (e *endpoint) abandonTrial(now time.Duration) {
	if e.trial != nil {
		e.finish(now, false)
	}
}
