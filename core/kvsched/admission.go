package kvsched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// refuseAtArrival refuses a request on arrival if, at the rate at which the
// queue has been served, the requests before it would take it past its target.
// The caller learns of the refusal within milliseconds and can retry after the
// burst. No engine is left idle by it, since other requests wait.
func (l *Ledger) refuseAtArrival(w *waiting) []sched.Action {
	if l.options.ForecastRefusal || !l.enabled(ArrivalRefusal) || l.memoryForLate() {
		return nil
	}
	wait, ok := l.serviceRate.predictWait(l.now, l.tokensAhead(w))
	wait = time.Duration(float64(wait) / forecastMargin)
	if !ok || l.now+wait+l.firstToken.expected(w.want.PromptTokens) <= w.target {
		return nil
	}
	after := max(l.releaseRate.retryAfter(l.now, l.backlog()), minOverloadRetryAfter)
	return l.refuse(w.want, verdict.CodeOverloaded, jitter(after, w.want.Request), causePastTarget)
}

// tokensAhead returns the tokens of the requests that are served before a new
// one, plus its own.
func (l *Ledger) tokensAhead(w *waiting) int {
	shared := l.sharesByTeam()
	if shared {
		queue := append(slices.Clone(l.queue), w)
		fairshare.SortByAge(queue)
		fairshare.AssignTags(queue, l.shares)
	}
	ahead := w.tokens
	for _, other := range l.queue {
		before := other.want.Priority > w.want.Priority ||
			other.want.Priority == w.want.Priority && (!shared || other.startTag <= w.startTag)
		if !other.tooLate && before {
			ahead += other.tokens
		}
	}
	return ahead
}

// forecastMargin is the factor by which the predicted wait must exceed the time
// left. The prediction is uncertain: requests ahead may be larger than their
// guess, or leave, and a request refused because of them could have been in
// time.
const forecastMargin = 1.6

// causePastTarget is the reason for a refusal on arrival.
const causePastTarget = "those before it take the engines past its target"

const (
	// minOverloadRetryAfter is the shortest retry delay for a request that
	// cannot be served in time: a burst lasts several seconds.
	minOverloadRetryAfter = 4 * time.Second
	// retryJitter is the largest relative change of a retry delay. It keeps
	// refused callers from retrying at the same moment.
	retryJitter = 0.2
	// retryJitterSteps is the number of distinct jitter values.
	retryJitterSteps = 1000
)

// jitter lengthens or shortens a delay by a share that depends only on the
// request.
func jitter[T ~string](d time.Duration, request T) time.Duration {
	part := 2*float64(xxhash.Sum64String(string(request))%retryJitterSteps)/retryJitterSteps - 1
	return d + time.Duration(retryJitter*part*float64(d))
}
