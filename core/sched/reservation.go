package sched

import "time"

// reservation is a grant in use: a place in a prefill queue, a decode slot and
// a share of a link.
type reservation struct {
	number  uint64
	want    Want
	grant   Grant
	service *service
	team    *team

	// prefill is nil for a plain service.
	prefill *endpoint
	decode  *endpoint
	link    *link

	phase Phase
	// begun is set by the first Progress.
	begun     bool
	grantedAt time.Duration
	// deadline is the last moment of a first token in time; zero if unknown.
	deadline time.Duration
	// slotFrom is when the slot was got; zero while it is waited for.
	slotSince time.Duration
	// start and prefillEnd are predicted until the prefill begins and ends.
	start        time.Duration
	prefillTime  time.Duration
	prefillEnd   time.Duration
	transferTime time.Duration
	decodingFrom time.Duration
	// release is the predicted release of the slot, give or take deviation.
	release   time.Duration
	deviation time.Duration
	// expires is when the reservation ends without a Progress.
	expires     time.Duration
	expiryIndex int

	// borrowed is set on a prefill begun on a predicted slot.
	speculative bool

	cachedTokens int
	promptTokens int
	outputTokens int
	kvBytes      float64
	// charge is what the team was charged, in engine seconds.
	charge cost
}

// cost is engine time that a request takes, in seconds.
type cost struct {
	prefill float64
	// slot is the time that a decode slot is held.
	slot float64
}

// add adds d, or takes it away with sign -1.
func (c *cost) add(d cost, sign float64) {
	c.prefill += sign * d.prefill
	c.slot += sign * d.slot
}
