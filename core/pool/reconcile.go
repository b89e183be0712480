package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// reconcileAfter is how long a request must have been decoding before its
// absence from the engine's own list counts: the list and the reports of the
// daemons overtake one another by less.
const reconcileAfter = 2 * time.Second

// Holding takes the requests that an engine holds, by its own list. A request
// that counts as decoding there and is not in the list has ended without a word
// of its daemon, which may be dead or cut off: its slot is free.
func (m *Manager) Holding(now time.Duration, e id.Endpoint, held map[id.Request]bool) []sched.Action {
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
