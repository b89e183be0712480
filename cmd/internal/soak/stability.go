package soak

import (
	"sync"
	"time"
)

// stabilizationTime is how long a component must have been free of faults before
// guarantees with a time limit are checked.
const stabilizationTime = 4 * time.Second

// stability tracks whether injected faults affect a component.
type stability struct {
	mu sync.Mutex
	// faultUntil is the end of the latest fault that affects the component.
	faultUntil time.Time
}

// markFault records a fault that lasts until the given time.
func (s *stability) markFault(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.faultUntil) {
		s.faultUntil = until
	}
}

// stable reports whether no fault has affected the component for
// stabilizationTime.
func (s *stability) stable(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.After(s.faultUntil.Add(stabilizationTime))
}
