package account

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// retryWindow is how long after the arrival of an unanswered attempt another one
// with the same fingerprint counts as its caller's retry.
const retryWindow = 20 * time.Second

// request is one request of a caller: its attempts in order of arrival.
type request []*attempt

// finish builds the summary from the collected data.
func (b *builder) finish(logs *logstory.Logs) (*Summary, error) {
	if len(b.attempts) == 0 {
		return nil, ErrNoRequests
	}
	b.addUnended()
	slices.SortFunc(b.attempts, func(x, y *attempt) int {
		return cmp.Or(x.arrived.Compare(y.arrived), cmp.Compare(x.id, y.id))
	})
	for _, a := range b.attempts {
		a.failedTime = b.retries[a.id]
	}
	out := &Summary{
		From:  b.attempts[0].arrived.Truncate(time.Second),
		Lines: len(logs.Lines),
	}
	if all := len(logs.Lines) + logs.Unreadable; all > 0 {
		out.Unreadable = float64(logs.Unreadable+b.unreadable) / float64(all)
	}
	for _, a := range b.attempts {
		if end := a.arrived.Add(a.took); end.After(out.To) {
			out.To = end
		}
	}
	requests := groupAttempts(b.attempts)
	out.Routes = summarizeRoutes(requests)
	out.Reasons = countReasons(b.attempts)
	out.Wasted = b.wastedByCause(out.From, out.To)
	out.Seconds = b.countBySecond(out.From, requests)
	out.Pools = b.poolStates(out.From, out.To)
	return out, nil
}

// addUnended adds the attempts that were granted engines and whose end is not
// logged.
func (b *builder) addUnended() {
	ended := make(map[string]bool, len(b.attempts))
	for _, a := range b.attempts {
		ended[a.id] = true
	}
	for id, a := range b.granted {
		if !ended[id] {
			a.reason = b.missingEndReason(a)
			b.attempts = append(b.attempts, a)
		}
	}
}

// groupAttempts groups the attempts by request: an attempt that follows an unanswered
// one with the same route and fingerprint within retryWindow belongs to the same
// request.
func groupAttempts(attempts []*attempt) []request {
	var out []request
	latest := map[string]int{} // index of the latest request by route and fingerprint
	for _, a := range attempts {
		key := a.route + " " + a.fingerprint
		if i, ok := latest[key]; ok && a.fingerprint != "" && isRetry(out[i], a) {
			out[i] = append(out[i], a)
			continue
		}
		latest[key] = len(out)
		out = append(out, request{a})
	}
	return out
}

// isRetry reports whether an attempt is a retry of a request by its caller.
func isRetry(r request, a *attempt) bool {
	last := r[len(r)-1]
	return last.outcome != outcomeAnswered && a.arrived.Sub(last.arrived) < retryWindow
}

func (r request) first() *attempt { return r[0] }

func (r request) last() *attempt { return r[len(r)-1] }

// retryDelay returns the time from the first arrival to the arrival of the last
// attempt.
func (r request) retryDelay() time.Duration { return r.last().arrived.Sub(r.first().arrived) }

// count adds a request by the outcome of its last attempt.
func (c *Counts) count(r request) {
	last := r.last()
	c.Requests++
	switch {
	case last.outcome == outcomeAnswered && last.inTime && r.retryDelay()+last.timeToAnswer <= last.target:
		c.InTime++
	case last.outcome == outcomeAnswered:
		c.Late++
	case last.outcome == outcomeCallerGone && len(r) == 1 && last.took < last.target:
		c.Disconnected++
	case last.outcome == outcomeNoEnd:
		c.NoEnd++
	case last.notRun:
		c.Refused++
	default:
		c.Failed++
	}
}

// summarizeRoutes summarizes the requests by route, sorted by name.
func summarizeRoutes(requests []request) []Route {
	byName := map[string][]request{}
	for _, r := range requests {
		name := r.first().route
		byName[name] = append(byName[name], r)
	}
	var out []Route
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, newRoute(name, byName[name]))
	}
	return out
}

func newRoute(name string, requests []request) Route {
	first := requests[0].first()
	out := Route{Name: name, Service: first.service, Kind: first.kind}
	var late []request
	for _, r := range requests {
		before := out.Counts
		out.count(r)
		if out.Late > before.Late {
			late = append(late, r)
		}
		if len(r) > 1 {
			out.Retried++
			out.RetriedAnswered += out.Answered() - before.Answered()
		}
	}
	out.LateTime = meanLateTime(late)
	out.Refusals = refusalTimes(requests)
	return out
}

// meanLateTime averages the times of late requests.
func meanLateTime(late []request) LateTime {
	var out LateTime
	if len(late) == 0 {
		return out
	}
	share := 1 / float64(len(late))
	for _, r := range late {
		last := r.last()
		rest := max(0, last.timeToAnswer-last.queueTime-last.prefillTime-last.failedTime)
		out.RetryDelay += share * milliseconds(r.retryDelay())
		out.Queue += share * milliseconds(last.queueTime)
		out.Prefill += share * milliseconds(last.prefillTime)
		out.Retries += share * milliseconds(last.failedTime)
		out.Rest += share * milliseconds(rest)
		if r.retryDelay()+last.timeToAnswer <= last.target {
			out.Paused++
		}
	}
	return out
}

// refusalTimes summarizes the times to refusal of attempts that did not run.
func refusalTimes(requests []request) RefusalTimes {
	var took []time.Duration
	out := RefusalTimes{}
	for _, r := range requests {
		for i, a := range r {
			if a.outcome == outcomeAnswered || !a.notRun || a.outcome == outcomeCallerGone {
				continue
			}
			took = append(took, a.took)
			if i < len(r)-1 {
				out.Retried++
			}
		}
	}
	if len(took) == 0 {
		return out
	}
	slices.Sort(took)
	out.Count = len(took)
	out.P50 = milliseconds(took[len(took)/2])
	out.P90 = milliseconds(took[len(took)*9/10])
	out.Max = milliseconds(took[len(took)-1])
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// countReasons counts the unanswered attempts by reason, the most frequent first.
func countReasons(attempts []*attempt) []Reason {
	counts := map[Reason]int{}
	for _, a := range attempts {
		if a.outcome != outcomeAnswered {
			r := Reason{Route: a.route, Outcome: a.outcome, Reason: a.reason}
			if a.outcome == outcomeTeamLimit {
				r.Team = a.team
			}
			counts[r]++
		}
	}
	var out []Reason
	for r, n := range counts {
		r.Count = n
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y Reason) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Team, y.Team), cmp.Compare(x.Outcome, y.Outcome), cmp.Compare(x.Reason, y.Reason))
	})
	return out
}

// wastedByCause counts the wasted prompts by cause, sorted by tokens in descending
// order.
func (b *builder) wastedByCause(from, to time.Time) []WastedPrompts {
	byCause := map[string]WastedPrompts{}
	for _, v := range b.wasted {
		if v.at.Before(from) || v.at.After(to) {
			continue
		}
		sum := byCause[v.cause]
		sum.Cause = v.cause
		sum.Count++
		sum.Tokens += v.tokens
		byCause[v.cause] = sum
	}
	return slices.SortedFunc(maps.Values(byCause), func(x, y WastedPrompts) int {
		return cmp.Or(cmp.Compare(y.Tokens, x.Tokens), cmp.Compare(x.Cause, y.Cause))
	})
}

// countBySecond counts the requests by the second of their first arrival.
func (b *builder) countBySecond(from time.Time, requests []request) []Second {
	type key struct {
		at   int
		kind string
	}
	sums := map[key]*Second{}
	at := func(t time.Time, kind string) *Second {
		k := key{at: int(t.Sub(from) / time.Second), kind: kind}
		if sums[k] == nil {
			sums[k] = &Second{At: k.at, Kind: k.kind}
		}
		return sums[k]
	}
	for _, r := range requests {
		at(r.first().arrived, r.first().kind).count(r)
	}
	for _, v := range b.wasted {
		if b.inSpan(v.at) && !v.at.Before(from) {
			at(v.at, kindStream).WastedTokens += v.tokens
		}
	}
	var out []Second
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(x, y Second) int { return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Kind, y.Kind)) })
	return out
}

// poolStates returns the states of the pools within the span, in order of time.
func (b *builder) poolStates(from, to time.Time) []Pool {
	var out []Pool
	for _, l := range b.pools {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		l.pool.AtSeconds = l.at.Sub(from).Seconds()
		out = append(out, l.pool)
	}
	slices.SortStableFunc(out, func(x, y Pool) int { return cmp.Compare(x.AtSeconds, y.AtSeconds) })
	return out
}
