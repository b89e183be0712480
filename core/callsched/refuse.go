package callsched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// cause is why a call is refused.
type cause uint8

const (
	causeNoEndpoint cause = iota
	causeQueueFull
	// causeForecast: at arrival, the calls before it would take the endpoints past its
	// target, and it is not worth waiting beyond that.
	causeForecast
	// causeOvertaken: it was queued, and what has changed since makes it too late.
	causeOvertaken
	causes
)

// refusals holds the code and the reason of each cause.
var refusals = [causes]struct {
	code   verdict.Code
	reason string
}{
	causeNoEndpoint: {verdict.CodeNoEndpoint, "no endpoint of the service takes calls"},
	causeQueueFull:  {verdict.CodeOverloaded, "the queue of the service is full"},
	causeForecast:   {verdict.CodeOverloaded, "the calls before it take the endpoints past its target"},
	causeOvertaken:  {verdict.CodeOverloaded, "the endpoints have lost the room that it waited for"},
}

// refuse answers a call with a refusal and stores it for repeated Wants.
func (l *Ledger) refuse(w *waiting, c cause, after time.Duration) []sched.Action {
	l.stats.refused(w, c, l.now)
	refusal := &sched.Refusal{
		Request: w.want.Request, Code: refusals[c].code, RetryAfter: after, Reason: refusals[c].reason,
	}
	l.ended.Add(w.want.Request, refusal)
	return []sched.Action{{To: w.want.From, Refusal: refusal}}
}

// refuseUnknown refuses a call of a service that this pool doesn't have.
func (l *Ledger) refuseUnknown(w sched.Want) []sched.Action {
	refusal := &sched.Refusal{Request: w.Request, Code: verdict.CodeUnknownService, Reason: "the pool has no such service"}
	return []sched.Action{{To: w.From, Refusal: refusal}}
}

const (
	// minRetryAfter and maxRetryAfter bound the advised delay before its jitter.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// minFreeShare is the least share of the places that refused calls are spread over
	// when they return.
	minFreeShare = 0.1
	// retryJitter is the largest relative change of a delay, which keeps refused
	// callers from returning at the same moment; retryJitterSteps is the number of its
	// distinct values.
	retryJitter      = 0.2
	retryJitterSteps = 1000
)

// retryAfter returns when a refused call should return: once the calls before it are served
// and the overload is expected to have ended. Returning calls are spread over the places
// that the usual load leaves free, so that no more are told to come than fit.
func (l *Ledger) retryAfter(w *waiting, wait time.Duration) time.Duration {
	excess := l.now + wait - w.latestStart()
	if wait >= unknownWait {
		excess = 0
	}
	due := l.now + max(minRetryAfter, l.overload.refused(l.now), excess)
	l.bookedUntil = max(l.bookedUntil, due) + l.timeToServe(w)
	l.bookedUntil = min(l.bookedUntil, l.now+maxRetryAfter)
	return jitter(l.bookedUntil-l.now, w.want.Request)
}

// timeToServe returns how long the places that are usually free take for one more call.
func (l *Ledger) timeToServe(w *waiting) time.Duration {
	places := l.capacity().places
	if places == 0 {
		return 0
	}
	free := max(minFreeShare*places, places-l.usual.at(l.now))
	return seconds(w.Cost() / free)
}

// jitter changes a delay by a share that depends only on the request.
func jitter(d time.Duration, request id.Request) time.Duration {
	part := 2*float64(xxhash.Sum64String(string(request))%retryJitterSteps)/retryJitterSteps - 1
	return d + time.Duration(retryJitter*part*float64(d))
}
