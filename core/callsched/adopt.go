package callsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// Adopt implements sched.Scheduler. A grant in use goes before any decision of this owner
// about the same call.
func (l *Ledger) Adopt(now time.Duration, a sched.Adopt) []sched.Action {
	l.begin(now)
	l.adopt(&a)
	return l.finish(nil)
}

// adopt counts a former owner's grant in flight at its endpoint.
func (l *Ledger) adopt(a *sched.Adopt) {
	s, e := l.services[a.Want.Service], l.endpoints[a.Grant.Decode]
	if s == nil || e == nil || a.Phase >= sched.PhaseDone {
		return
	}
	if w := l.waiting[a.Want.Request]; w != nil {
		l.unqueue(w)
	}
	if g := l.granted[a.Want.Request]; g != nil {
		if g.grant.Owner == a.Grant.Owner && g.grant.Reservation == a.Grant.Reservation {
			l.renew(g)
			return
		}
		l.release(g)
	}
	l.ended.Remove(a.Want.Request)
	l.lapsed.Remove(a.Want.Request)
	w := l.newWaiting(a.Want, s)
	adopted := &grant{
		want: a.Want, grant: a.Grant, service: s, team: w.team, endpoint: e, target: w.target, lifetime: w.lifetime,
	}
	l.hold(adopted, l.expected(w, e))
	l.stats.Adopted++
}
