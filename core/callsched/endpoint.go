package callsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// fullHold is how long an endpoint that refused a call for lack of capacity gets no
	// new ones: about the time in which some of its calls end.
	fullHold = 40 * time.Millisecond
	// unreachableHold is how long an endpoint that could not be reached gets no new
	// calls, unless a report shows before that only one daemon doesn't reach it.
	unreachableHold = 500 * time.Millisecond
	// crossDomainCost is the time that a call to another failure domain takes more.
	crossDomainCost = 3 * time.Millisecond
	// silentAfter is the number of leases in a row that must lapse at an endpoint, with
	// no call ended there between them, for it to count as silent: single ones lapse
	// because a message was lost.
	silentAfter = 3
)

// endpoint is the ledger's view of one endpoint.
type endpoint struct {
	name   id.Endpoint
	domain id.Domain
	slots  int
	// leaving is set by a label or a refusal, drained and down by reports.
	leaving, drained, down bool
	// fullUntil and unreachableUntil are when the endpoint may get calls again after a
	// refusal or a failed connection.
	fullUntil, unreachableUntil time.Duration
	// unreached is set once a connection has failed, until a call or a report shows that
	// the endpoint is reached.
	unreached bool
	// inFlight counts the grants in use.
	inFlight int
	// lapses counts the leases that have lapsed since a call last ended here.
	lapses int
}

// configure applies a new configuration.
func (e *endpoint) configure(c *live.Endpoint) {
	e.domain = c.Domain
	e.slots = c.Slots
	if e.slots <= 0 {
		e.slots = live.DefaultSlots
	}
	e.leaving = live.IsLeaving(c)
}

// report applies a load report.
func (e *endpoint) report(r sched.Load) {
	e.down = !r.Reachable
	if r.Reachable {
		e.drained = r.Leaving
		e.unreachableUntil, e.unreached = 0, false
	}
}

// failed applies the failure of a call.
func (e *endpoint) failed(now time.Duration, p *sched.Progress) {
	if p.Full {
		e.fullUntil = now + fullHold
	}
	if p.Unreachable || p.Crashed {
		e.unreachableUntil, e.unreached = now+unreachableHold, true
	}
	if p.Leaving {
		e.leaving = true
	}
}

// ended applies that a call reached the endpoint and ended.
func (e *endpoint) ended() { e.lapses, e.unreached = 0, false }

// silent reports whether the endpoint takes calls without ending any.
func (e *endpoint) silent() bool { return e.lapses >= silentAfter }

// mayServe reports whether the endpoint may serve a call, now or after a hold.
func (l *Ledger) mayServe(e *endpoint) bool {
	if e.leaving || e.drained || e.down {
		return false
	}
	return l.options.Health == nil || l.options.Health.Allowed(e.name)
}

// limit returns how many calls may be in flight at an endpoint. One that is silent or was not
// reached gets single calls, by which it can show that it works again.
func (l *Ledger) limit(e *endpoint) int {
	if e.silent() || e.unreached {
		return 1
	}
	return max(1, l.limiter.Limit(l.now, e.name))
}

// hasRoom reports whether an endpoint can get a call now. While a new owner settles, a half
// is left for the calls that a former owner granted: the endpoint would queue or refuse
// what is too much, but a target may be shorter than the time to settle.
func (l *Ledger) hasRoom(e *endpoint) bool {
	if !l.mayServe(e) || l.now < max(e.fullUntil, e.unreachableUntil) {
		return false
	}
	limit := l.limit(e)
	if l.now < l.settled {
		limit = (limit + 1) / 2
	}
	return e.inFlight < limit
}

// anyRoom reports whether any endpoint can get a call now.
func (l *Ledger) anyRoom() bool { return slices.ContainsFunc(l.order, l.hasRoom) }

// choose returns the endpoint at which the call would end first, nil if none has room. Among
// equal ones it is the one with the smaller part of its limit in use, then the first by name.
func (l *Ledger) choose(w *waiting) *endpoint {
	var best *endpoint
	var bestEnd time.Duration
	bestUse := 0.0
	for _, e := range l.order {
		if slices.Contains(w.want.Avoid, e.name) || !l.hasRoom(e) {
			continue
		}
		end := l.expected(w, e)
		end += time.Duration(lossyFactor * l.doubt(e) * float64(end))
		if w.want.Domain != "" && e.domain != w.want.Domain {
			end += crossDomainCost
		}
		use := float64(e.inFlight) / float64(l.limit(e))
		if best == nil || end < bestEnd || end == bestEnd && use < bestUse {
			best, bestEnd, bestUse = e, end, use
		}
	}
	return best
}

// lossyFactor is how many times as long a call counts as taking at an endpoint that certainly
// loses more calls than its peers.
const lossyFactor = 10

// doubt returns how surely an endpoint loses more calls than its peers; 0 unless lossy
// endpoints are to be avoided.
func (l *Ledger) doubt(e *endpoint) float64 {
	if !l.options.AvoidLossy || l.options.Health == nil {
		return 0
	}
	return l.options.Health.Doubt(l.now, e.name)
}

// expected returns the expected time in service of a call that is sent to an endpoint now.
func (l *Ledger) expected(w *waiting, e *endpoint) time.Duration {
	return w.service.pace.scale(l.limiter.Expected(l.now, e.name, e.inFlight+1))
}

// servable reports whether any endpoint may serve the call, now or later.
func (l *Ledger) servable(w *waiting) bool {
	return slices.ContainsFunc(l.order, func(e *endpoint) bool {
		return l.mayServe(e) && !slices.Contains(w.want.Avoid, e.name)
	})
}
