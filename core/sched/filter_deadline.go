package sched

// deadlineFilter keeps pairs that are predicted to give the first token within
// the request's patience.
type deadlineFilter struct{}

func (deadlineFilter) name() string { return "deadline" }

func (deadlineFilter) keepPair(c *cycle, p *pair) bool {
	first := p.finish()
	if p.prefill.endpoint != nil {
		first += seconds(p.decode.tokenTime.mean)
	}
	return first-c.now+c.waited <= c.service.patience
}
