package kvsched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// refuseAtArrival refuses a request at once that would miss its target behind
// those before it, at the rate at which the queue has been served. Its caller
// knows so within milliseconds and can come back when the burst is over, and no
// engine stands idle for it, since others wait.
func (l *Ledger) refuseAtArrival(w *waiting) []sched.Action {
	if !l.enabled(ArrivalRefusal) || l.memoryForLate() {
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

// ahead is what a request that has just come has before it, with itself, in
// tokens.
func (l *Ledger) tokensAhead(w *waiting) int {
	shared := l.sharesByTeam()
	if shared {
		queue := append(slices.Clone(l.queue), w)
		byAge(queue)
		l.fairQueue.assignStartTags(queue)
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

// doubt is the factor by which the forecast must miss the target: some of those
// before are larger than they say, or leave, and one that is refused for them could
// have been in time.
const forecastMargin = 1.6

// lacksTime is why a request is refused at its arrival.
const causePastTarget = "those before it take the engines past its target"

const (
	// crowdedRetryAfter is the least advice to one that finds no room in time: a
	// burst lasts some seconds.
	minOverloadRetryAfter = 4 * time.Second
	// spreadRetryAfter is the share by which the advice is spread, so that those
	// who come back don't come together.
	retryJitter = 0.2
	// spreadSteps is how many different advices there are.
	retryJitterSteps = 1000
)

// spread puts a time up or down by a share that depends on the request alone.
func jitter[T ~string](d time.Duration, request T) time.Duration {
	part := 2*float64(xxhash.Sum64String(string(request))%retryJitterSteps)/retryJitterSteps - 1
	return d + time.Duration(retryJitter*part*float64(d))
}
