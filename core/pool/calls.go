package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/sched"
)

// callTimeout bounds a call without a target and a lifetime, in the detectors.
const callTimeout = 30 * time.Second

// recordCallGrant records a granted call as sent. A grant that is sent again for a repeated
// Want changes nothing; one to another endpoint replaces the first.
func (m *Manager) recordCallGrant(now time.Duration, g *sched.Grant) {
	t, ok := m.requests[g.Request]
	if !ok || (t.phase != 0 && t.reservation == g.Reservation) {
		return
	}
	m.endWork(now, t, health.Result{Request: g.Request, Kind: health.Neutral})
	t.decode = g.Decode
	t.reservation = g.Reservation
	t.phase = sched.PhaseDecoding
	t.updatedAt = now
	m.nextLapse = min(m.nextLapse, t.lapsesAt())
	m.startWork(now, t)
}

// expectedAnswer returns the time within which callers expect the answer of a call.
func (t *trackedRequest) expectedAnswer() time.Duration {
	switch {
	case t.want.Target > 0:
		return t.want.Target
	case t.want.Lifetime > 0:
		return t.want.Lifetime
	default:
		return callTimeout
	}
}

// endLapsedCalls ends the calls whose callers have gone and whose end was not reported,
// since they would otherwise make their endpoints seem stuck.
func (m *Manager) endLapsedCalls(now time.Duration) {
	if !m.opts.Calls || now < m.nextLapse {
		return
	}
	m.nextLapse = health.Never
	for _, r := range m.sortedRequests() {
		lapses := m.requests[r].lapsesAt()
		if now >= lapses {
			m.endRequest(now, r, health.Neutral)
			continue
		}
		m.nextLapse = min(m.nextLapse, lapses)
	}
}

// lapsesAt returns when the caller of a call has certainly gone.
func (t *trackedRequest) lapsesAt() time.Duration {
	if t.want.Lifetime <= 0 {
		return t.updatedAt + callTimeout
	}
	return t.updatedAt + t.want.Lifetime
}
