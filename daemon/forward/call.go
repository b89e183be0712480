package forward

import (
	"context"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// attemptShare of the time left is given to an attempt of a call that can
	// still be repeated afterwards.
	attemptFraction = 0.4
	// leastAttempt is the shortest time for an attempt: well above what a
	// sound endpoint takes.
	minAttemptTime = 150 * time.Millisecond
	// maxRefusals bounds how often one request is refused by endpoints before
	// its caller is refused.
	maxRefusals = 3
	// callRetryAfter is advised where a service has no endpoint that takes work.
	callRetryAfter = 200 * time.Millisecond
)

// call serves a plain call: endpoints are tried one after another for as long
// as the request certainly has not run, or may run twice.
func (f *Forwarder) call(ctx context.Context, r *Request, t *trace, s *route.Service) (*Reply, *verdict.Error) {
	var avoid []id.Endpoint
	ran, refused := 0, 0
	var last *Reply
	var failure *verdict.Error
	for {
		if err := f.recheckKey(r, t); err != nil {
			return finalResult(last, failure, err)
		}
		endpoint, err := f.pick(s.Name, avoid)
		if err != nil {
			return finalResult(last, failure, err)
		}
		repeatable := t.route.Repeatable() && ran+1 < t.route.MaxAttempts
		reply, err := f.try(ctx, r, t, s, endpoint, repeatable)
		if err == nil && !reply.Failed() {
			return reply, nil
		}
		arrived := err == nil || err.Verdict != verdict.NotRun
		if arrived {
			ran++
			last, failure = reply, err
		} else {
			refused++
			failure = worseError(failure, err)
		}
		avoid = append(avoid, endpoint.Name)
		if !f.mayRetry(ctx, r, t, s, err, ran, refused) {
			return finalResult(last, failure, nil)
		}
	}
}

// orEarlier gives what the earlier attempts came to: an endpoint's own error
// answer goes before an error of this daemon.
func finalResult(last *Reply, failure, now *verdict.Error) (*Reply, *verdict.Error) {
	switch {
	case last != nil:
		return last, nil
	case failure != nil:
		return nil, failure
	default:
		return nil, now
	}
}

// worse keeps the error that promises less.
func worseError(a, b *verdict.Error) *verdict.Error {
	if a == nil || verdict.Worse(a.Verdict, b.Verdict) == b.Verdict {
		return b
	}
	return a
}

// pick chooses an endpoint; the caller must end it with done.
func (f *Forwarder) pick(service id.Service, avoid []id.Endpoint) (registry.Endpoint, *verdict.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.Balancer.Pick(f.Now(), service, avoid)
	if !ok && len(avoid) == 0 {
		return e, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no endpoint", service).WithRetryAfter(callRetryAfter)
	}
	if !ok {
		return e, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no other endpoint", service).WithRetryAfter(callRetryAfter)
	}
	return e, nil
}

// try makes one attempt.
func (f *Forwarder) try(ctx context.Context, r *Request, t *trace, s *route.Service, e registry.Endpoint, repeatable bool) (*Reply, *verdict.Error) {
	begun := f.Now()
	limit := f.deadline(r, t.route)
	until := limit
	if repeatable {
		share := time.Duration(attemptFraction * float64(limit-begun))
		until = min(limit, begun+max(share, minAttemptTime))
	}
	t.attempts++
	t.endpoint = e.Name
	f.countUnlisted(t, e)
	reply, err := f.Endpoints.Call(ctx, &Attempt{
		Request:     r,
		Endpoint:    e,
		Left:        limit - begun,
		Until:       until,
		MaxConns:    f.maxConns(s),
		Once:        !t.route.Repeatable(),
		Team:        t.teamName(),
		Credentials: t.credentials(r),
	})
	t.mayHaveRun = t.mayHaveRun || err == nil || err.Verdict != verdict.NotRun
	took := f.Now() - begun
	f.done(e, begun, outcomeOf(reply, err))
	if err != nil {
		f.recordFailure(r, t, e, err)
		f.Log.Event("attempt_failed", "request", r.ID, "attempt", t.attempts, "endpoint", e.Name, "took", took,
			"verdict", err.Verdict, "code", err.Code, "why", err.Error())
		return nil, err
	}
	f.clearSuspicion(r, t)
	if reply.Failed() {
		f.Log.Event("attempt_failed", "request", r.ID, "attempt", t.attempts, "endpoint", e.Name, "took", took,
			"verdict", verdict.Ran, "status", reply.Status)
	}
	return reply, nil
}

// outcomeOf is what an attempt tells of its endpoint.
func outcomeOf(reply *Reply, err *verdict.Error) balance.Outcome {
	switch {
	case err == nil && reply.Failed():
		return balance.Failed
	case err == nil:
		return balance.OK
	case err.Code == verdict.CodeCallerGone:
		return balance.Withdrawn
	case err.Code == verdict.CodeDeadline:
		return balance.Slow
	case err.Code == verdict.CodeOverloaded:
		return balance.Full
	case err.Code == verdict.CodeUnavailable, err.Code == verdict.CodeSuperseded:
		return balance.Unreachable
	default:
		return balance.Failed
	}
}

// again says whether a failed attempt is followed by another. Only arrivals at
// endpoints are paid for: a connection that was refused is none.
func (f *Forwarder) mayRetry(ctx context.Context, r *Request, t *trace, s *route.Service, err *verdict.Error, ran, refused int) bool {
	if ctx.Err() != nil || f.timeLeft(r, t.route) < minTimeForRetry {
		t.reason = "no time is left"
		return false
	}
	notRun := err != nil && err.Verdict == verdict.NotRun
	if !notRun && (!t.route.Repeatable() || ran >= t.route.MaxAttempts) {
		t.reason = "it may not run again"
		return false
	}
	if refused >= maxRefusals {
		t.reason = "too many endpoints refused"
		return false
	}
	if f.checkQuarantine(r, t) != nil {
		return false
	}
	if notRun && !refusedOnArrival(err) {
		return true
	}
	if !f.takeRetry(s.Name) {
		t.reason = "the service's bound on repeats is reached"
		return false
	}
	return true
}

// leastLeft is the least time that another attempt needs to be of use.
const minTimeForRetry = 25 * time.Millisecond

// arrivedAnyway says whether a request that has not run reached an endpoint,
// which refused it.
func refusedOnArrival(err *verdict.Error) bool {
	return slices.Contains([]verdict.Code{verdict.CodeOverloaded, verdict.CodeSuperseded, verdict.CodeKVGone}, err.Code)
}
