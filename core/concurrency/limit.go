package concurrency

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// unlimited is the learned limit of an endpoint that takes all that it has slots for.
var unlimited = math.Inf(1)

// ceiling is the highest possible limit of an endpoint: its slots and as many requests more
// as are under way in messages, so that no slot waits for them.
func (l *Learner) ceiling(e *endpoint) int {
	most := max(1, e.Slots)
	if l.options.RoundTrip > 0 {
		most += underWay(most, l.options.RoundTrip, l.service(e))
	}
	if e.Bound > 0 {
		most = min(most, e.Bound)
	}
	return most
}

// underWay is how many of the running requests end within a round trip, and a standard
// deviation more since they end independently of each other.
func underWay(running int, roundTrip, service time.Duration) int {
	ending := float64(running) * float64(roundTrip) / float64(max(roundTrip, service))
	return int(math.Ceil(ending + math.Sqrt(ending)))
}

// service is the time in service that counts for the messages under way.
func (l *Learner) service(e *endpoint) time.Duration {
	if e.pace.samples == 0 {
		return l.options.Initial
	}
	return e.pace.expected(0)
}

// Limit implements Limiter.
func (l *Learner) Limit(now time.Duration, name id.Endpoint) int {
	e := l.endpoints[name]
	if e == nil {
		return 1
	}
	if l.losses.Probing(now, name) {
		return 1
	}
	if e.trial != nil && !e.trial.over(now) {
		return min(e.trial.limit, l.ceiling(e))
	}
	return l.settled(now, e)
}

// settled is the limit outside of a trial.
func (l *Learner) settled(now time.Duration, e *endpoint) int {
	ceiling := l.ceiling(e)
	if e.limit == unlimited {
		return ceiling
	}
	return min(max(1, int(math.Floor(e.aged(now)+rounding))), ceiling)
}

// aged is the learned limit as far as it still holds. One that no request has reached for a
// while rises back to the slots: it may no longer be true, and it bounds nothing meanwhile.
func (e *endpoint) aged(now time.Duration) float64 {
	keep := decay(now-e.reachedAt-idleAfter, idleMemory)
	return float64(e.Slots) + keep*(e.limit-float64(e.Slots))
}

// reached records that a request has met the limit: what has aged meanwhile is that limit.
func (e *endpoint) reached(now time.Duration, limit int) {
	e.reachedAt = now
	e.setLimit(limit)
}

// setLimit sets the learned limit.
func (e *endpoint) setLimit(limit int) {
	e.limit = float64(limit)
	if limit >= e.Slots {
		e.limit = unlimited
	}
}

// rounding makes a limit whole that misses the next whole number by little.
const rounding = 0.05

// refused lowers the limit: the endpoint runs fewer requests than it says. Refusals of
// requests that were sent before the last one was acted on say nothing new.
func (l *Learner) refused(now time.Duration, e *endpoint, s Sample) {
	e.abandonTrial(now)
	if now-s.Took < e.loweredAt {
		return
	}
	limit := l.settled(now, e)
	lowered := max(s.InFlight-1, int(float64(limit)*refusalFactor), 1)
	if lowered >= limit {
		return
	}
	e.limit, e.reachedAt, e.loweredAt = float64(lowered), now, now
	e.near = newArm()
}

// refusalFactor is the most that one refusal takes off a limit.
const refusalFactor = 0.75
