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
	// attemptFraction is the fraction of the remaining time after which another endpoint
	// may be asked to answer the call as well.
	attemptFraction = 0.4
	// minAttemptTime is the shortest time after which another one may be asked: well
	// above the time that a healthy endpoint takes.
	minAttemptTime = 150 * time.Millisecond
	// maxRefusals is how many refusals by endpoints end a request with an error.
	maxRefusals = 3
	// callRetryAfter is the Retry-After of errors for a service that has no
	// endpoint that takes work.
	callRetryAfter = 200 * time.Millisecond
)

// finalResult returns the result of the earlier attempts, or now if there is
// none. An endpoint's own error answer takes precedence over an error of this
// daemon.
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

// worseError returns the error whose verdict guarantees less about whether the
// request has run; b if they are equal.
func worseError(a, b *verdict.Error) *verdict.Error {
	if a == nil || verdict.Worse(a.Verdict, b.Verdict) == b.Verdict {
		return b
	}
	return a
}

// pick chooses an endpoint; the caller must call done after the attempt. The lock must
// be held.
func (f *Forwarder) pick(service id.Service, avoid []id.Endpoint) (registry.Endpoint, *verdict.Error) {
	e, ok := f.Balancer.Pick(f.Now(), service, avoid)
	if !ok {
		return e, noEndpoint(service, avoid)
	}
	return e, nil
}

// noEndpoint returns the refusal of a request for a service without an endpoint that takes
// work, apart from those to avoid.
func noEndpoint(service id.Service, avoid []id.Endpoint) *verdict.Error {
	other := ""
	if len(avoid) > 0 {
		other = "other "
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no %sendpoint", service, other).WithRetryAfter(callRetryAfter)
}

// outcomeOf maps the result of an attempt to the balancer's outcome for its
// endpoint.
func outcomeOf(reply *Reply, err *verdict.Error) balance.Outcome {
	switch {
	case err == nil && reply.Failed():
		return balance.Failed
	case err == nil:
		return balance.OK
	case err.Code == verdict.CodeCallerGone, err.Code == verdict.CodeMemoryShort:
		return balance.Neutral
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

// mayRetry reports whether a failed attempt is followed by another.
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
	if f.recheckStop(r, t) != nil || f.checkQuarantine(r, t) != nil {
		return false
	}
	if !f.payRepeats(t, s.Name, 1) {
		t.reason = "the service's bound on repeats is reached"
		return false
	}
	return true
}

// minTimeForRetry is the shortest remaining time in which another attempt is
// useful.
const minTimeForRetry = 25 * time.Millisecond

// refusedOnArrival reports whether a request that has not run reached an
// endpoint, which refused it.
func refusedOnArrival(err *verdict.Error) bool {
	return slices.Contains([]verdict.Code{verdict.CodeOverloaded, verdict.CodeSuperseded, verdict.CodeKVGone}, err.Code)
}
