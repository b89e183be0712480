package sched

// lateMargin is how many deviations of a slot's predicted release are kept to
// the deadline. An answer that is late has taken a slot for nothing.
const lateMargin = 1.0

// deadlineFilter keeps pairs that are predicted to give the first token within
// the request's patience.
type deadlineFilter struct{}

func (deadlineFilter) name() string { return "deadline" }

func (deadlineFilter) keepPair(c *cycle, p *pair) bool {
	first := p.finish() + seconds(lateMargin*p.deviation.Seconds())
	if p.prefill.endpoint != nil {
		first += seconds(p.decode.tokenTime.mean)
	}
	return first-c.now+c.waited <= c.service.patience
}
