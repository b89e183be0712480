package retry

import "time"

// budget is a token bucket of retries. It is refilled at a constant rate, the
// floor, and by successes.
type budget struct {
	tokens float64
	// rate is the floor, in tokens per second.
	rate float64
	// capacity bounds tokens.
	capacity   float64
	refilledAt time.Duration
}

// initialSeconds is what a budget holds at first, in seconds of its floor. It may replace
// one that has just been used up, by a former process or for a team that was dropped.
const initialSeconds = 1.0

func newBudget(now time.Duration, rate, burst float64) *budget {
	b := &budget{refilledAt: now}
	b.setFloor(rate, burst)
	b.tokens = min(b.capacity, max(1, rate*initialSeconds))
	return b
}

func (b *budget) setFloor(rate, burst float64) {
	b.rate = rate
	b.capacity = max(1, rate*burst)
	b.tokens = min(b.tokens, b.capacity)
}

func (b *budget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

func (b *budget) add(now time.Duration, tokens float64) {
	b.refill(now)
	b.tokens = min(b.capacity, b.tokens+tokens)
}

func (b *budget) available(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= 1
}
