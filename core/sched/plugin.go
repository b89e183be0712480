package sched

import "time"

// endpointFilter is a step of the row of plugins that leaves out endpoints.
type endpointFilter interface {
	// name stands in the reason of a decision.
	name() string
	// keep says whether the endpoint may serve the request.
	keep(c *cycle, e *endpoint) bool
}

// pairFilter leaves out pairs of endpoints. It may delay the pair's start and
// fill in what it predicts.
type pairFilter interface {
	name() string
	keepPair(c *cycle, p *pair) bool
}

// scorer rates a pair, in seconds gained or, below zero, lost.
type scorer interface {
	name() string
	score(c *cycle, p *pair) float64
}

// picker chooses among the scored pairs; -1 for none.
type picker interface {
	pick(c *cycle, pairs []pair) int
}

// prefillChoice is a prefill endpoint with what is predicted for it.
type prefillChoice struct {
	endpoint *endpoint
	// cachedTokens of the prompt are believed to be cached there.
	cachedTokens int
	start        time.Duration
	took         time.Duration
}

// pair is a choice of endpoints with what is predicted for it. For a plain
// service the prefill's endpoint is nil.
type pair struct {
	prefill prefillChoice
	decode  *endpoint
	link    *link
	// delay is added to the prefill's start to meet a free slot.
	delay time.Duration
	// wait is how long the KV cache is predicted to wait for its slot.
	wait time.Duration
	// deviation is that of the slot's predicted release.
	deviation time.Duration
	transfer  time.Duration
	score     float64
	// tie breaks equal scores.
	tie uint64
}

// prefillEnd predicts the end of the prefill.
func (p *pair) prefillEnd() time.Duration {
	return p.prefill.start + p.delay + p.prefill.took
}

// finish predicts the first token, but for the decode's own first step.
func (p *pair) finish() time.Duration { return p.prefillEnd() + p.wait + p.transfer }

// cycle is the state that one decision passes along the row of plugins.
type cycle struct {
	now      time.Duration
	options  *Options
	want     *Want
	service  *service
	settling bool
	model    string
	// waited is the request's age.
	waited time.Duration
	// meanQueue is the mean predicted prefill queue of the pool.
	meanQueue time.Duration
	kvBytes   float64
	// untaught is set while the request may run against the estimates.
	probe bool
	// memo keeps the link predictions of this decision.
	memo []linkMemo
	// blocked names the filter that left out the last pair.
	blocked string
}

// linkMemo is one link prediction.
type linkMemo struct {
	link  *link
	start time.Duration
	took  time.Duration
	fits  bool
}

// keepAll applies a row of endpoint filters.
func keepAll(filters []endpointFilter, c *cycle, e *endpoint) bool {
	for _, f := range filters {
		if !f.keep(c, e) {
			c.blocked = f.name()
			return false
		}
	}
	return true
}
