package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// follow notes what the scheduler decided.
func (m *Manager) recordActions(now time.Duration, actions []sched.Action) []sched.Action {
	for _, a := range actions {
		switch {
		case a.Grant != nil:
			m.recordGrant(now, a.Grant)
		case a.Binding != nil:
			m.recordBinding(now, a.Binding)
		case a.Refusal != nil:
			m.refused++
			m.dropRefused(a.Refusal.Request)
		}
	}
	return actions
}

// dropIdle forgets a refused request, unless its work is known to go on: a Want
// that comes again after its grant expired can be refused beside it.
func (m *Manager) dropRefused(r id.Request) {
	if t, ok := m.requests[r]; ok && t.phase == 0 {
		delete(m.requests, r)
	}
}

// bound follows a provisional grant to the endpoint that it got. Once it
// decodes, the binding has come too late to be followed.
func (m *Manager) recordBinding(now time.Duration, b *sched.Binding) {
	t, ok := m.requests[b.Request]
	if !ok || t.decode == b.Decode || t.phase > sched.PhaseTransferring {
		return
	}
	if t.phase != sched.PhaseTransferring {
		t.decode = b.Decode
		return
	}
	m.endWork(now, t, health.Result{Request: b.Request, Kind: health.Withdrawn})
	t.decode = b.Decode
	m.startWork(now, t)
}

func (m *Manager) recordGrant(now time.Duration, g *sched.Grant) {
	t, ok := m.requests[g.Request]
	if !ok || t.phase != 0 {
		return
	}
	t.prefill = g.Prefill
	t.decode = g.Decode
	t.reservation = g.Reservation
	t.updatedAt = now
}
