// Package leaving takes a daemon through a planned stop: it serves on until no
// caller needs it, and then closes.
package leaving

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
)

// Stop is a planned stop under way. It is safe for concurrent use.
type Stop struct {
	began time.Duration
	mu    sync.Mutex
	plan  *entry.StopPlan
}

// Begin begins a planned stop at now.
func Begin(cfg entry.StopConfig, now time.Duration) *Stop {
	return &Stop{began: now, plan: entry.NewStopPlan(cfg, now)}
}

// Began is when it began.
func (s *Stop) Began() time.Duration { return s.began }

// Named notes that an answer named the daemon even so.
func (s *Stop) Named(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Named(now)
}

// Caller notes that a caller still came.
func (s *Stop) Caller(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Caller(now)
}

func (s *Stop) mayClose(now time.Duration, inFlight int) (bool, entry.StopReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.MayClose(now, inFlight)
}

// Wait looks every so often whether the daemon may close, and returns why. ok
// is false if ctx ended first.
func (s *Stop) Wait(ctx context.Context, every time.Duration, now func() time.Duration, inFlight func() int) (why entry.StopReason, ok bool) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
		if ok, why := s.mayClose(now(), inFlight()); ok {
			return why, true
		}
	}
}
