package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// recordActions updates the tracked requests from the scheduler's decisions and
// returns the actions unchanged.
func (m *Manager) recordActions(now time.Duration, actions []sched.Action) []sched.Action {
	for _, a := range actions {
		switch {
		case a.Grant != nil:
			m.recordGrant(now, a.Grant)
		case a.Binding != nil:
			m.recordBinding(now, a.Binding)
		case a.Refusal != nil:
			m.refused++
			m.dropRefused(now, a.Refusal.Request)
		}
	}
	return actions
}

// dropRefused removes a refused request unless its work has started: a Want that
// is sent again after its grant expired can be refused while the work continues.
func (m *Manager) dropRefused(now time.Duration, r id.Request) {
	if m.opts.Calls {
		m.endRequest(now, r, health.Neutral)
		return
	}
	if t, ok := m.requests[r]; ok && t.phase == 0 {
		delete(m.requests, r)
	}
}

// recordBinding moves a request with a provisional grant to the decode endpoint
// that it was bound to. A binding that arrives once decoding has started is
// ignored.
func (m *Manager) recordBinding(now time.Duration, b *sched.Binding) {
	t, ok := m.requests[b.Request]
	if !ok || t.decode == b.Decode || t.phase > sched.PhaseTransferring {
		return
	}
	if t.phase != sched.PhaseTransferring {
		t.decode = b.Decode
		return
	}
	m.endWork(now, t, health.Result{Request: b.Request, Kind: health.Neutral})
	t.decode = b.Decode
	m.startWork(now, t)
}

func (m *Manager) recordGrant(now time.Duration, g *sched.Grant) {
	if m.opts.Calls {
		m.recordCallGrant(now, g)
		return
	}
	t, ok := m.requests[g.Request]
	if !ok || t.phase != 0 {
		return
	}
	t.prefill = g.Prefill
	t.decode = g.Decode
	t.reservation = g.Reservation
	t.updatedAt = now
}
