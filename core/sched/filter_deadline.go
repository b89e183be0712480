package sched

import "time"

// lateMargin is the safety margin before the deadline, in deviations of a slot's
// predicted release. A late answer wastes its slot.
const lateMargin = 1.0

// deadlineFilter keeps pairs whose first token is predicted within the request's
// patience. If no running request would correct the estimates of slow endpoints,
// it also keeps a free pair, so that the request runs as a probe.
type deadlineFilter struct{}

func (deadlineFilter) name() string { return "deadline" }

func (deadlineFilter) keepPair(c *cycle, p *pair) bool {
	first := p.finish() + seconds(lateMargin*p.deviation.Seconds())
	if p.prefill.endpoint != nil {
		first += seconds(p.decode.tokenTime.mean)
	}
	return first-c.now+c.waited <= c.service.patience || c.probe && p.canStartNow(c.now)
}

// canStartNow reports whether both endpoints can take the request now.
func (p *pair) canStartNow(now time.Duration) bool {
	return p.prefill.endpoint != nil && p.prefill.start <= now && p.delay == 0 && p.decode.free(now) > 0
}
