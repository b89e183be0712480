// Package leaving runs the planned stop of a daemon: the daemon continues to serve
// until no caller needs it, and then closes.
package leaving

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
)

// Stop is a planned stop in progress. It is safe for concurrent use.
type Stop struct {
	began time.Duration
	mu    sync.Mutex
	plan  *entry.StopPlan
}

// Begin starts a planned stop at now.
func Begin(cfg entry.StopConfig, now time.Duration) *Stop {
	return &Stop{began: now, plan: entry.NewStopPlan(cfg, now)}
}

// Began returns the time at which the stop began.
func (s *Stop) Began() time.Duration { return s.began }

// RecordNamed records that an answer still named this daemon.
func (s *Stop) RecordNamed(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.RecordNamed(now)
}

// RecordCaller records that a new caller still arrived.
func (s *Stop) RecordCaller(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.RecordCaller(now)
}

func (s *Stop) mayClose(now time.Duration, inFlight int) (bool, entry.StopReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.MayClose(now, inFlight)
}

// Wait checks at the given interval whether the daemon may close, and returns the
// reason once it may. ok is false if ctx ended first.
func (s *Stop) Wait(ctx context.Context, interval time.Duration, now func() time.Duration, inFlight func() int) (reason entry.StopReason, ok bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
		if ok, reason := s.mayClose(now(), inFlight()); ok {
			return reason, true
		}
	}
}
