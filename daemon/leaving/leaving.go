// Package leaving runs the planned stop of a daemon: the daemon continues to serve
// until no caller needs it, and then closes.
package leaving

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
)

// Stop is a planned stop in progress. It is safe for concurrent use.
type Stop struct {
	began time.Duration
	mu    sync.Mutex
	plan  *entry.StopPlan
	// reason is why the daemon closes; empty until it does.
	reason entry.StopReason
	// closing is set once the daemon has decided to close.
	closing atomic.Bool
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

// Closing reports whether the daemon has decided to close. It must refuse new requests from
// then on. A request must be counted as in flight before it asks.
func (s *Stop) Closing() bool { return s.closing.Load() }

// Late reports whether the stop has lasted for cutoff; a short stop, for three quarters of its
// time limit.
func (s *Stop) Late(now, cutoff time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Late(now, cutoff)
}

// EndsBefore reports whether the time limit of the stop is over before until.
func (s *Stop) EndsBefore(until time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.EndsBefore(until)
}

// mayEnd reports whether the daemon may end, and the reason. A request may arrive between the
// look at those in flight and the decision to close: mayEnd looks once more behind the
// decision, and the daemon waits for it until the time limit of the stop is over.
func (s *Stop) mayEnd(now func() time.Duration, inFlight func() int) (entry.StopReason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reason == "" {
		ok, reason := s.plan.MayClose(now(), inFlight())
		if !ok {
			return "", false
		}
		s.reason = reason
		s.closing.Store(true)
	}
	return s.reason, inFlight() == 0 || s.plan.Over(now())
}

// Wait checks at the given interval whether the daemon may end, and returns the reason once
// it may: no request is in flight and new ones are refused (see Closing), or the time limit
// of the stop is over. ok is false if ctx ended first.
func (s *Stop) Wait(ctx context.Context, interval time.Duration, now func() time.Duration, inFlight func() int) (reason entry.StopReason, ok bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
		if reason, ok := s.mayEnd(now, inFlight); ok {
			return reason, true
		}
	}
}
