package kvsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Demand implements sched.DemandReporter.
func (l *Ledger) Demand(now time.Duration) sched.Demand {
	d := sched.Demand{Queued: len(l.queue), PrefillWork: l.prefillWork, Attempts: l.tried, RepeatedWants: l.repeated}
	for _, e := range l.order {
		if e.leaving || e.down {
			continue
		}
		switch e.role {
		case live.RolePrefill:
			d.Prefills = append(d.Prefills, sched.EngineDemand{Endpoint: e.name, Requests: len(e.prefills), Drained: e.drained})
			if e.drained {
				continue
			}
			d.PrefillBacklog += max(0, e.busyUntil-now)
		case live.RoleDecode:
			d.Decodes = append(d.Decodes, sched.EngineDemand{Endpoint: e.name, Requests: len(e.decodes), Drained: e.drained})
			if e.drained {
				continue
			}
			d.Memory += e.memory
			d.MemoryHeld += l.held(e)
		}
	}
	for _, w := range l.queue {
		d.MemoryWanted += w.tokens
		if !w.want.Prefilled {
			d.PromptWanted += w.want.PromptTokens
		}
	}
	return d
}

// Tried returns how many times an engine was evaluated for a request since the
// start. These evaluations are most of the scheduler's work.
func (l *Ledger) Tried() uint64 { return l.tried }

// Snapshot implements sched.Snapshotter.
func (l *Ledger) Snapshot() sched.Snapshot {
	s := sched.Snapshot{
		Pool:     l.options.Pool,
		Queued:   len(l.queue),
		Running:  len(l.granted),
		Settling: l.now < l.settled,
	}
	for _, e := range l.order {
		if e.decodesHere() {
			s.Slots += e.slots
			s.Held += len(e.decodes)
		}
		if e.leaving {
			s.Leaving = append(s.Leaving, e.name)
		}
		if l.options.Health != nil && !l.options.Health.Allowed(e.name) {
			s.Ejected = append(s.Ejected, e.name)
		}
	}
	return s
}
