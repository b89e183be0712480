package sched

import "time"

// lateMargin is how many deviations of a slot's predicted release are kept to
// the deadline. An answer that is late has taken a slot for nothing.
const lateMargin = 1.0

// deadlineFilter keeps pairs that are predicted to give the first token within
// the request's patience. Where nothing runs that would correct the estimates of
// slow endpoints, a pair that is free may be tried in spite of them.
type deadlineFilter struct{}

func (deadlineFilter) name() string { return "deadline" }

func (deadlineFilter) keepPair(c *cycle, p *pair) bool {
	first := p.finish() + seconds(lateMargin*p.deviation.Seconds())
	if p.prefill.endpoint != nil {
		first += seconds(p.decode.tokenTime.mean)
	}
	return first-c.now+c.waited <= c.service.patience || c.probe && p.canStartNow(c.now)
}

// atOnce says whether both endpoints are free for the request now.
func (p *pair) canStartNow(now time.Duration) bool {
	return p.prefill.endpoint != nil && p.prefill.start <= now && p.delay == 0 && p.decode.free(now) > 0
}
