package soak

import (
	"sync"
	"time"
)

// contact is how long something must have been left alone to be held to times.
const stabilizationTime = 4 * time.Second

// calmness tells whether faults have left something alone.
type stability struct {
	mu sync.Mutex
	// disturbed is until when faults touch it.
	faultUntil time.Time
}

// disturb notes a fault that goes on until then.
func (c *stability) markFault(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.faultUntil) {
		c.faultUntil = until
	}
}

// calm says whether no fault has touched it for a while.
func (c *stability) stable(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.After(c.faultUntil.Add(stabilizationTime))
}
