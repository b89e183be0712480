package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Status is the state of a pool, for operators.
type Status struct {
	sched.Snapshot
	// Answered and Refused count since this daemon became the owner.
	Answered uint64
	Refused  uint64
	// Unreachable counts the endpoints whose state could not be read for their
	// latest report.
	Unreachable int
	// PrefillLoad and DecodeLoad are the utilisation of the two roles, 0 to 1.
	PrefillLoad float64
	DecodeLoad  float64
	// Tracked counts the requests that wait or hold a grant, in the records of the
	// detectors. Working counts those that run at an endpoint.
	Tracked int
	Working int
	// Quarantine lists the quarantined requests.
	Quarantine []poison.Entry
}

// Status returns the pool's state.
func (m *Manager) Status(now time.Duration) Status {
	s := Status{Answered: m.answered, Refused: m.refused}
	s.Pool = m.opts.Pool
	if snap, ok := m.sched.(sched.Snapshotter); ok {
		s.Snapshot = snap.Snapshot()
	}
	s.Tracked = len(m.requests)
	for _, state := range m.endpoints {
		s.Working += len(state.running)
	}
	s.Unreachable = m.unreachableCount()
	s.PrefillLoad = m.usage.load
	if s.Slots > 0 {
		s.DecodeLoad = float64(s.Held+s.Foreign) / float64(s.Slots)
	}
	s.Quarantine = m.opts.Poison.List(m.wall(now))
	return s
}

// Demand returns the demand on the pool's roles; ok is false if the scheduler
// does not report it.
func (m *Manager) Demand(now time.Duration) (d sched.Demand, ok bool) {
	demander, ok := m.sched.(sched.DemandReporter)
	if !ok {
		return sched.Demand{}, false
	}
	return demander.Demand(now), true
}

func (m *Manager) unreachableCount() int {
	n := 0
	for _, l := range m.reports {
		if !l.Reachable {
			n++
		}
	}
	return n
}
