package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// reconcileAfter is how long a request must have been decoding before its
// absence from the engine's list counts. The list and the daemons' reports can
// arrive out of order, but by less than this.
const reconcileAfter = 2 * time.Second

// ReconcileHeld compares the tracked requests with the list of requests that an
// engine holds. A request that is recorded as decoding at e but is missing from the
// list has ended without a report from its daemon, which may be dead or
// partitioned; it is cancelled to free its slot.
func (m *Manager) ReconcileHeld(now time.Duration, e id.Endpoint, held map[id.Request]bool) []sched.Action {
	var out []sched.Action
	for _, r := range m.sortedRequests() {
		t := m.requests[r]
		ended := t.decode == e && t.phase == sched.PhaseDecoding && !held[r] && now-t.updatedAt >= reconcileAfter
		if ended {
			p := sched.Progress{Request: r, Reservation: t.reservation, Phase: sched.PhaseCancelled}
			out = append(out, m.Progress(now, p)...)
		}
	}
	return out
}
