package sched

import "time"

// reservation is a grant in use. It reserves a place in a prefill queue, a decode
// slot and a share of a link.
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
	// deadline is the latest time for the first token; zero if unknown.
	deadline time.Duration
	// slotSince is when the slot was assigned; zero while the reservation waits
	// for it.
	slotSince time.Duration
	// start and prefillEnd are predictions until the prefill begins or ends.
	start        time.Duration
	prefillTime  time.Duration
	prefillEnd   time.Duration
	transferTime time.Duration
	decodingFrom time.Duration
	// release is the predicted release of the slot, with its deviation.
	release   time.Duration
	deviation time.Duration
	// expires is when the reservation expires unless a Progress arrives.
	expires     time.Duration
	expiryIndex int

	// speculative is set on a reservation whose slot was not free when it was
	// granted, until the outcome is recorded.
	speculative bool

	cachedTokens int
	promptTokens int
	outputTokens int
	kvBytes      float64
	// charge is the cost that the team was charged, in engine seconds.
	charge cost
}

// cost is the engine time that a request uses, in seconds.
type cost struct {
	prefill float64
	// slot is the time that a decode slot is held.
	slot float64
}

// add adds d, or subtracts it with sign -1.
func (c *cost) add(d cost, sign float64) {
	c.prefill += sign * d.prefill
	c.slot += sign * d.slot
}
