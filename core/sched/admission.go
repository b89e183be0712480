package sched

import (
	"cmp"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Bounds of RetryAfter in refusals.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// admit decides whether a request may be queued. It refuses a request at once
// if a limit is reached or if the backlog leaves too little of its patience.
func (l *Ledger) admit(w Want) (*waiting, *Refusal) {
	s, t, refusal := l.authorize(&w)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := l.checkLimits(&w, t); refusal != nil {
		return nil, refusal
	}
	if refusal := l.checkEndpoints(&w, s); refusal != nil {
		return nil, refusal
	}
	cached := l.bestCached(&w)
	minFirstToken := l.pool.minFirstToken(s, &w, cached)
	if minFirstToken > s.patience {
		return nil, promptTooLarge(&w, s, minFirstToken)
	}
	estimate := l.pool.cost(s, &w, cached)
	first := l.pool.firstToken(s, estimate)
	if l.queue.queued == 0 && l.mayProbe(s, w.Age+minFirstToken) {
		first = min(first, minFirstToken)
	}
	wait := l.predictWait(s, t, clampPriority(w.Priority), first)
	if refusal := l.checkPatience(&w, s, wait, first); refusal != nil {
		return nil, refusal
	}
	arrived := l.now - w.Age
	return &waiting{
		want:          w,
		service:       s,
		team:          t,
		arrived:       arrived,
		latest:        arrived + s.patience - first,
		cost:          estimate,
		minFirstToken: minFirstToken,
	}, nil
}

// checkPatience refuses a request whose first token is predicted to be late.
// The condition is temporary: the backlog drains, and probe requests correct
// estimates that were learned from slow engines.
func (l *Ledger) checkPatience(w *Want, s *service, wait, first time.Duration) *Refusal {
	late := w.Age + wait + first - s.patience
	if late <= 0 {
		return nil
	}
	if w.Age+first > s.patience {
		// The estimates alone exceed the patience, and the next probe may correct them.
		late = min(late, verdict.TransientRetryAfter)
	}
	return &Refusal{
		Request:    w.Request,
		Code:       verdict.CodeOverloaded,
		RetryAfter: l.retryAfter(late),
		Reason: fmt.Sprintf("predicted wait %v and first token %v, patience %v; estimates: %s",
			wait, first, s.patience-w.Age, l.pool.describe(l.now)),
	}
}

// promptTooLarge refuses a prompt that even an idle pool at its best rates
// can't prefill within the service's patience. A retry does not help, so
// RetryAfter is not set.
func promptTooLarge(w *Want, s *service, minFirstToken time.Duration) *Refusal {
	return &Refusal{
		Request: w.Request,
		Code:    verdict.CodeTooLarge,
		Reason: fmt.Sprintf("the prompt of about %d tokens needs %v to its first token, the service's patience_ms is %d",
			w.PromptTokens, minFirstToken.Round(time.Millisecond), s.patience.Milliseconds()),
	}
}

// checkLimits refuses a request that exceeds a limit of the team or of the queue.
func (l *Ledger) checkLimits(w *Want, t *team) *Refusal {
	refusal := Refusal{Request: w.Request}
	switch {
	case t.inFlight() >= t.maxInFlight:
		refusal.Code = verdict.CodeTeamLimit
		refusal.Reason = fmt.Sprintf("%d requests in flight", t.inFlight())
	case t.queued >= l.options.MaxTeamQueue:
		refusal.Code = verdict.CodeTeamLimit
		refusal.Reason = fmt.Sprintf("%d requests waiting", t.queued)
	case l.queue.queued >= l.options.MaxQueue:
		refusal.Code = verdict.CodeOverloaded
		refusal.Reason = fmt.Sprintf("%d requests waiting in the pool", l.queue.queued)
	default:
		return nil
	}
	refusal.RetryAfter = l.drainTime(t)
	return &refusal
}

// checkEndpoints refuses a request if the pool has no endpoint of a role that it needs.
func (l *Ledger) checkEndpoints(w *Want, s *service) *Refusal {
	missing := live.Role("")
	if !s.plain && l.fleet.engines() == 0 {
		missing = live.RolePrefill
	}
	if l.fleet.slots[s.role()] == 0 {
		missing = s.role()
	}
	if missing == "" {
		return nil
	}
	return &Refusal{
		Request:    w.Request,
		Code:       verdict.CodeNoEndpoint,
		RetryAfter: boundRetry(l.options.ReportLag),
		Reason:     "no ready " + string(missing) + " endpoint in pool " + string(l.options.Pool),
	}
}

// predictWait predicts how long a new request waits for its grant: the smaller
// of its team's backlog at the team's share and the whole backlog. The request
// needs a slot only after its prefill.
func (l *Ledger) predictWait(s *service, t *team, priority int, first time.Duration) time.Duration {
	ahead := t.backlog(priority)
	share := l.shareOf(t)
	slots := max(1, float64(l.fleet.slots[s.role()]))
	slotWait := min(ahead.slot/share, l.queue.backlog.slot) / slots
	slotAt := seconds(slotWait) + l.untilFree(s.role())
	if s.plain {
		return slotAt
	}
	engines := max(1, float64(l.fleet.engines()))
	prefillWait := min(ahead.prefill/share, l.queue.backlog.prefill) / engines
	prefillAt := seconds(prefillWait) + l.untilFree(live.RolePrefill)
	return max(0, prefillAt, slotAt-first)
}

// untilFree predicts the time until the first endpoint of a role can take work.
func (l *Ledger) untilFree(role live.Role) time.Duration {
	at := l.fleet.earliest(role, l.now)
	if at == never {
		return 0
	}
	return at - l.now
}

// shareOf returns the team's share of the pool, from 0 to 1, relative to the
// teams that have requests waiting.
func (l *Ledger) shareOf(t *team) float64 {
	total := l.queue.weights
	if t.queued == 0 {
		total += t.weight
	}
	if total <= 0 {
		return 1
	}
	return min(1, t.weight/total)
}

// drainTime predicts when the team's backlog is served; the result is bounded
// as a RetryAfter.
func (l *Ledger) drainTime(t *team) time.Duration {
	backlog := t.backlog(0)
	slots := l.fleet.slots[live.RoleDecode] + l.fleet.slots[live.RolePlain]
	busy := backlog.prefill/max(1, float64(l.fleet.engines())) + backlog.slot/max(1, float64(slots))
	return boundRetry(seconds(busy / l.shareOf(t)))
}

// boundRetry limits a RetryAfter to minRetryAfter and maxRetryAfter.
func boundRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// bestCached returns the largest number of prompt tokens that any engine is
// assumed to have cached.
func (l *Ledger) bestCached(w *Want) int {
	if len(w.Prefix) == 0 {
		return 0
	}
	best := 0
	for _, e := range l.caches.find(w.Prefix[0]) {
		best = max(best, l.cachedTokens(e, w))
	}
	return best
}

// cachedTokens returns the number of prompt tokens that an engine is assumed to
// have cached.
func (l *Ledger) cachedTokens(e *endpoint, w *Want) int {
	if len(w.Prefix) == 0 {
		return 0
	}
	blocks := e.cache.match(l.now, w.Prefix)
	return min(blocks*l.options.BlockTokens, w.PromptTokens-1)
}

// refuseLate refuses queued requests whose patience can no longer be met.
func (l *Ledger) refuseLate(actions []Action) []Action {
	for len(l.queue.latest) > 0 && l.queue.latest[0].latest < l.now {
		w := l.queue.latest[0]
		l.unqueue(w)
		actions = append(actions, l.refuse(w.want.From, l.lateRefusal(w))...)
	}
	return actions
}

// lateRefusal returns the refusal of a request whose patience can no longer be met.
func (l *Ledger) lateRefusal(w *waiting) *Refusal {
	return &Refusal{
		Request:    w.want.Request,
		Code:       verdict.CodeOverloaded,
		RetryAfter: l.retryAfter(l.drainTime(w.team)),
		Reason: fmt.Sprintf("waited %v of %v, held up by %s",
			l.now-w.arrived, w.service.patience, cmp.Or(w.blocked, "requests before it")),
	}
}
