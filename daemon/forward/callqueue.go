package forward

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// With the call queue, the owner of a service's pool grants the endpoints of its plain calls,
// for all daemons. See docs/design/call-queue-daemon.md.

const (
	// answerFraction is the fraction of the time in which a call is to be answered that its
	// daemon waits for a first answer of the owner: what is left suffices for the call.
	answerFraction = 0.25
	// minAnswerIn covers a few round trips and short delays of either daemon, maxAnswerIn
	// bounds the wait of calls with much time.
	minAnswerIn = 40 * time.Millisecond
	maxAnswerIn = 250 * time.Millisecond
	// maxGivenBack bounds the grants that one attempt gives back: an owner that grants so
	// many endpoints which this daemon can't use knows another registry, and this daemon
	// chooses among those that it knows.
	maxGivenBack = 4
)

// chosen is the endpoint of an attempt, and who chose it.
type chosen struct {
	endpoint registry.Endpoint
	// grant is the owner's; nil if this daemon chose. fallback is set if it did so since
	// no owner answered.
	grant    *sched.Grant
	fallback bool
}

// next chooses the endpoint of the call's next attempt.
func (c *callAttempts) next() (chosen, *verdict.Error) {
	if c.queued {
		return c.askOwner()
	}
	e, err := c.f.choose(c.ctx, c.request, c.trace, c.service.Name, c.avoid)
	return chosen{endpoint: e}, err
}

// askOwner gets an endpoint from the pool's owner. A grant that this daemon can't use is
// given back, and its endpoint avoided.
func (c *callAttempts) askOwner() (chosen, *verdict.Error) {
	f, avoid := c.f, slices.Clone(c.avoid)
	for range maxGivenBack {
		blocked, err := f.awaitOpen(c.ctx, c.request, c.trace, c.service.Name, avoid)
		if err != nil {
			return chosen{}, err
		}
		grant, err := c.pair(slices.Concat(avoid, blocked))
		if err != nil && errors.Is(err.Cause, pairing.ErrUndecided) {
			return c.chooseInstead()
		}
		if err != nil {
			return chosen{}, c.notGranted(err)
		}
		if err := f.recheck(c.request, c.trace); err != nil {
			c.giveBack(&grant, "the request may no longer be sent")
			return chosen{}, err
		}
		e, why := f.takeGranted(grant.Decode)
		if why == "" {
			f.begin(e.Name)
			return chosen{endpoint: e, grant: &grant}, nil
		}
		c.giveBack(&grant, why)
		avoid = append(avoid, grant.Decode)
	}
	return c.chooseInstead()
}

// pair sends a Want to the pool's owner and waits for its decision.
func (c *callAttempts) pair(avoid []id.Endpoint) (sched.Grant, *verdict.Error) {
	f, r, rt := c.f, c.request, c.trace.route
	c.pairings++
	asked := f.Now()
	age, lifetime := asked-r.Arrived, f.deadline(r, rt)-r.Arrived
	patience := lifetime - minTimeForRetry
	if rt.Patience > 0 {
		patience = min(patience, max(rt.Patience-firstEventReserve, rt.TargetLatency))
	}
	want := sched.Want{
		Request:  f.wantID(r.ID, c.pairings),
		Team:     c.trace.fairShareTeam(),
		Service:  c.service.Name,
		Pool:     id.Pool(c.service.Name),
		From:     f.Self(),
		Age:      age,
		Priority: c.trace.priority(),
		Avoid:    avoid,
		Domain:   f.Domain,
		Attempt:  c.pairings,
		Target:   rt.TargetLatency,
		Patience: patience,
		Lifetime: lifetime,
		Content:  contentOf(fingerprintOf(r, c.trace)),
		AnswerIn: answerIn(rt.TargetLatency, lifetime),
	}
	grant, err := f.Pairer.Pair(c.ctx, want, max(patience-age, 0))
	waited := f.Now() - asked
	c.trace.queueWait += waited
	f.stats.callWait.Record(waited)
	if err != nil {
		return grant, err
	}
	f.stats.callGrants.Add(c.queueKey(), 1)
	f.stats.callTeams.Add(string(want.Team)+"/granted", 1)
	f.Log.Routine("call_granted", "request", r.ID, "route", rt.Name, "kind", rt.Kind, "print", shortFingerprint(r, c.trace), "service", c.service.Name, "team", want.Team, "pairing", c.pairings, "endpoint", grant.Decode,
		"owner", grant.Owner, "reservation", grant.Reservation, "waited", waited, "reason", grant.Reason)
	return grant, nil
}

// wantID returns the name of a Want, unique in the fleet whatever names its callers give to
// their requests.
func (f *Forwarder) wantID(r id.Request, pairing int) id.Request {
	return id.Request(fmt.Sprintf("%s.%d.%s.%d", r, pairing, f.Self(), f.wants.Add(1)))
}

// answerIn returns how long a call waits for a first answer of its pool's owner.
func answerIn(target, lifetime time.Duration) time.Duration {
	if target <= 0 {
		target = lifetime
	}
	return min(max(time.Duration(answerFraction*float64(target)), minAnswerIn), maxAnswerIn)
}

// contentOf returns the start of a fingerprint as a number.
func contentOf(p poison.Fingerprint) uint64 { return binary.BigEndian.Uint64(p[:]) }

// queueKey is the key of the call in the metrics: its service and priority.
func (c *callAttempts) queueKey() string {
	return fmt.Sprintf("%s/%d", c.service.Name, c.trace.priority())
}

// notGranted returns the error of a call that was not granted an endpoint, and counts it if the
// pool's owner has refused it.
func (c *callAttempts) notGranted(err *verdict.Error) *verdict.Error {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the call waited for the queue of service %s", c.service.Name)
	}
	if err.Code == verdict.CodeCallerGone {
		return err
	}
	c.f.stats.callRefusals.Add(c.queueKey()+"/"+string(err.Code), 1)
	c.f.stats.callTeams.Add(string(c.trace.fairShareTeam())+"/refused", 1)
	c.trace.reason = "the owner of the queue refused"
	return err.WithCause(errRefusedByOwner)
}

// giveBack returns a grant that was not used.
func (c *callAttempts) giveBack(g *sched.Grant, why string) {
	c.f.stats.callGivenBack.Inc()
	c.f.Log.Event("grant_given_back", "request", c.request.ID, "endpoint", g.Decode, "owner", g.Owner, "reservation", g.Reservation, "why", why)
	c.f.Pairer.Progress(sched.Progress{Request: g.Request, Phase: sched.PhaseCancelled})
}

// takeGranted looks up a granted endpoint and counts a request against its rate limit. It
// returns why this daemon can't use the endpoint; nothing if it can.
func (f *Forwarder) takeGranted(name id.Endpoint) (e registry.Endpoint, why string) {
	e, known := f.View().Endpoints[name]
	switch {
	case !known:
		return e, "is no longer registered"
	case e.Leaving:
		return e, "is leaving"
	}
	return e, f.takeLimit(name)
}

// begin tells the balancer of a granted call, so that it knows the endpoints' load when the
// owner falls silent.
func (f *Forwarder) begin(e id.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Balancer.Begin(e)
}
