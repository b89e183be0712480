package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/sched"
)

// CallStatus is the state of a plain service's pool, for operators.
type CallStatus struct {
	sched.Snapshot
	// Stats are the scheduler's totals since this daemon became the owner.
	Stats callsched.Stats
	// Endpoints is what was learned of the endpoints; empty if nothing is learned.
	Endpoints []concurrency.EndpointStatus
}

// callScheduler is a scheduler of plain calls.
type callScheduler interface {
	sched.Snapshotter
	Stats() callsched.Stats
}

// endpointReporter is a limiter that reports what it has learned.
type endpointReporter interface {
	Status(now time.Duration) []concurrency.EndpointStatus
}

// CallStatus returns the state of a plain service's pool; ok is false for other pools.
func (m *Manager) CallStatus(now time.Duration) (s CallStatus, ok bool) {
	c, ok := m.sched.(callScheduler)
	if !ok {
		return CallStatus{}, false
	}
	s = CallStatus{Snapshot: c.Snapshot(), Stats: c.Stats()}
	if l, learns := m.opts.Limiter.(endpointReporter); learns {
		s.Endpoints = l.Status(now)
	}
	return s, true
}

// Learns reports whether the manager learns of its endpoints.
func (m *Manager) Learns() bool { return m.opts.Limiter != nil }

// Learned returns what was learned of the endpoints, for the pool's next owner.
func (m *Manager) Learned(now time.Duration) []concurrency.Learned {
	if m.opts.Limiter == nil {
		return nil
	}
	return m.opts.Limiter.Snapshot(now)
}

// Restore takes over what a former owner has learned.
func (m *Manager) Restore(now time.Duration, learned []concurrency.Learned) {
	if m.opts.Limiter != nil {
		m.opts.Limiter.Restore(now, learned)
	}
}
