package concurrency

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// ceiling is the highest possible limit of an endpoint.
func (l *Learner) ceiling(e *endpoint) int {
	most := e.Slots + l.options.Allowance
	if e.Bound > 0 {
		most = min(most, e.Bound)
	}
	return max(1, most)
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
	return min(max(1, int(math.Floor(e.aged(now)+rounding))), l.ceiling(e))
}

// aged is the learned limit as far as it still holds. One that no request has reached for a
// while rises back to the slots: it may no longer be true, and it bounds nothing meanwhile.
func (e *endpoint) aged(now time.Duration) float64 {
	keep := decay(now-e.reachedAt-idleAfter, idleMemory)
	return float64(e.Slots) + keep*(e.limit-float64(e.Slots))
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
	limit := float64(l.settled(now, e))
	lowered := max(float64(s.InFlight-1), limit*refusalFactor, 1)
	if lowered >= limit {
		return
	}
	e.limit, e.reachedAt, e.loweredAt = lowered, now, now
	e.near = newArm()
}

// refusalFactor is the most that one refusal takes off a limit.
const refusalFactor = 0.75
