package callsched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// leaseFactor is the lease of a grant as a multiple of the expected time in service.
	leaseFactor = 4
	// minLease covers some round trips of a daemon that is short of processor time.
	minLease = 100 * time.Millisecond
)

// grant is a granted call.
type grant struct {
	want     sched.Want
	grant    sched.Grant
	service  *service
	team     *team
	endpoint *endpoint
	// inFlight is the number of calls at the endpoint when this one was granted, itself
	// included.
	inFlight int
	// promised is set if the call was admitted as one that will be in time; target is
	// when its answer is due.
	promised         bool
	target, lifetime time.Duration
	// lease is how long the grant is valid without a report, until expires.
	lease, expires time.Duration
}

// answer returns the action that sends the grant to a daemon.
func (g *grant) answer(to id.Process) sched.Action {
	answer := g.grant
	return sched.Action{To: to, Grant: &answer}
}

// grant assigns an endpoint to a call and returns the answer.
func (l *Ledger) grant(w *waiting, e *endpoint) sched.Action {
	l.serial++
	g := &grant{
		want: w.want, service: w.service, team: w.team, endpoint: e,
		promised: w.promised, target: w.target, lifetime: w.lifetime,
	}
	l.shares.Granted(w.team.name, w.startTag, w.Cost())
	l.hold(g, l.expected(w, e))
	g.grant = sched.Grant{
		Request:     w.want.Request,
		Decode:      e.name,
		Reservation: l.serial,
		Owner:       l.options.Self,
		ExpiresIn:   g.lease,
		Reason: fmt.Sprintf("waited %v, %d of %d in flight, %d calls in the queue",
			(l.now - w.queuedAt).Round(time.Millisecond), g.inFlight, l.limit(e), len(l.queue)),
	}
	l.lapsed.Remove(w.want.Request)
	l.stats.granted(w, l.now)
	return g.answer(w.want.From)
}

// hold counts a grant in flight at its endpoint and starts its lease.
func (l *Ledger) hold(g *grant, expected time.Duration) {
	g.endpoint.inFlight++
	g.inFlight = g.endpoint.inFlight
	g.team.granted++
	g.lease = max(minLease, leaseFactor*expected)
	if g.service.pace.samples == 0 {
		g.lease = max(minLease, g.lifetime-l.now) // nothing is known of how long calls take
	}
	l.granted[g.want.Request] = g
	l.renew(g)
}

// renew starts a grant's lease anew. It ends no later than the caller's patience for an
// answer, but leaves time for the messages.
func (l *Ledger) renew(g *grant) {
	g.expires = min(l.now+g.lease, max(g.lifetime, l.now+minLease))
	l.nextExpiry = min(l.nextExpiry, g.expires)
}

// release returns the place of a grant.
func (l *Ledger) release(g *grant) {
	g.endpoint.inFlight--
	g.team.granted--
	delete(l.granted, g.want.Request)
	l.dispatchDue = true
}

// expireLeases returns the places of grants whose end was not reported in time, because
// the grant or the report was lost or because the call still runs.
func (l *Ledger) expireLeases() {
	if l.now < l.nextExpiry {
		return
	}
	l.nextExpiry = never
	for _, g := range l.sortedGrants() {
		if l.now < g.expires {
			l.nextExpiry = min(l.nextExpiry, g.expires)
			continue
		}
		l.release(g)
		l.lapsed.Add(g.want.Request, g)
		l.stats.Lapsed++
		g.endpoint.lapses++
		l.roomChanged()
	}
}

// extendLeases extends the leases that ended while the owner was stalled: the reports of the
// calls' ends may have arrived and not been processed.
func (l *Ledger) extendLeases() {
	for _, g := range l.granted {
		g.expires = max(g.expires, l.now+minLease)
	}
	l.nextExpiry = l.now + minLease
}

// Progress implements sched.Scheduler.
func (l *Ledger) Progress(now time.Duration, p sched.Progress) []sched.Action {
	l.begin(now)
	if g, ok := l.lapsed.Peek(p.Request); ok && g.grant.Reservation == p.Reservation {
		l.endLapsed(g, &p)
	}
	g := l.granted[p.Request]
	if g == nil || g.grant.Reservation != p.Reservation {
		return l.finish(nil)
	}
	if p.Phase < sched.PhaseDone {
		l.renew(g)
		return l.finish(nil)
	}
	l.release(g)
	l.recordEnd(g, &p)
	l.ended.Add(p.Request, nil)
	return l.finish(nil)
}

// endLapsed records the end of a call whose lease has lapsed: its place was returned
// before.
func (l *Ledger) endLapsed(g *grant, p *sched.Progress) {
	if p.Phase < sched.PhaseDone {
		return
	}
	l.lapsed.Remove(p.Request)
	l.stats.EndedAfterLapse++
	l.recordEnd(g, p)
	if l.granted[p.Request] == nil && l.waiting[p.Request] == nil {
		l.ended.Add(p.Request, nil)
	}
}

// recordEnd learns from the end of a call.
func (l *Ledger) recordEnd(g *grant, p *sched.Progress) {
	e := g.endpoint
	if p.Phase == sched.PhaseFailed && p.Endpoint != "" {
		e.failed(l.now, p)
		l.roomChanged()
	}
	outcome := outcomeOf(p)
	l.limiter.Record(l.now, concurrency.Sample{
		Endpoint: e.name, Took: p.ServiceTime, InFlight: g.inFlight, Outcome: outcome,
	})
	if outcome == concurrency.Completed || outcome == concurrency.Refused || outcome == concurrency.Failed {
		e.ended()
	}
	if outcome != concurrency.Completed {
		return
	}
	g.service.pace.add(p.ServiceTime, l.limiter.Expected(l.now, e.name, g.inFlight))
	if g.promised {
		l.stats.judged(l.now > g.target)
	}
}

// outcomeOf translates the end of a call for the limiter. A failure that no endpoint has
// caused, a call without a time, or a daemon that doesn't reach the endpoint, says nothing
// about the endpoint.
func outcomeOf(p *sched.Progress) concurrency.Outcome {
	switch {
	case p.Phase == sched.PhaseDone && p.ServiceTime > 0:
		return concurrency.Completed
	case p.Phase != sched.PhaseFailed || p.Endpoint == "" || p.Leaving || p.Unreachable:
		return concurrency.Unknown
	case p.Full:
		return concurrency.Refused
	case p.TimedOut:
		return concurrency.TimedOut
	default:
		return concurrency.Failed
	}
}

// sortedGrants returns the grants in use by request.
func (l *Ledger) sortedGrants() []*grant {
	out := make([]*grant, 0, len(l.granted))
	for _, g := range l.granted {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *grant) int {
		return strings.Compare(string(a.want.Request), string(b.want.Request))
	})
	return out
}
