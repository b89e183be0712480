package sched

import "time"

// endpointFilter is a plugin that excludes endpoints.
type endpointFilter interface {
	// name identifies the filter in the reason of a refusal.
	name() string
	// keep reports whether the endpoint may serve the request.
	keep(c *cycle, e *endpoint) bool
}

// pairFilter is a plugin that excludes pairs of endpoints. It may delay the
// pair's start and set the pair's predictions.
type pairFilter interface {
	name() string
	keepPair(c *cycle, p *pair) bool
}

// scorer rates a pair in seconds: positive scores are time gained, negative
// scores time lost.
type scorer interface {
	name() string
	score(c *cycle, p *pair) float64
}

// picker returns the index of the chosen pair, or -1 if there is none.
type picker interface {
	pick(c *cycle, pairs []pair) int
}

// prefillChoice is a prefill endpoint with the predictions for its prefill.
type prefillChoice struct {
	endpoint *endpoint
	// cachedTokens is the number of prompt tokens assumed to be cached there.
	cachedTokens int
	start        time.Duration
	took         time.Duration
}

// pair is a choice of endpoints with its predictions. For a plain service the
// prefill's endpoint is nil.
type pair struct {
	prefill prefillChoice
	decode  *endpoint
	link    *link
	// delay is added to the prefill's start to meet a free slot.
	delay time.Duration
	// wait is the predicted time that the KV cache waits for its slot.
	wait time.Duration
	// deviation is the deviation of the slot's predicted release.
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

// finish predicts when the decode can start; the first token follows one decode
// step later.
func (p *pair) finish() time.Duration { return p.prefillEnd() + p.wait + p.transfer }

// cycle is the state of one decision, which is passed to all plugins.
type cycle struct {
	now      time.Duration
	options  *Options
	want     *Want
	service  *service
	settling bool
	model    string
	// waited is the time since the request arrived.
	waited time.Duration
	// meanQueue is the mean predicted prefill queue of the pool.
	meanQueue time.Duration
	kvBytes   float64
	// probe is set if the request may run although the estimates rule it out.
	probe bool
	// memo caches the link predictions of this decision.
	memo []linkMemo
	// blocked names the filter that rejected the last candidate.
	blocked string
}

// linkMemo is a cached link prediction.
type linkMemo struct {
	link  *link
	start time.Duration
	took  time.Duration
	fits  bool
}

// keepAll reports whether an endpoint passes all filters.
func keepAll(filters []endpointFilter, c *cycle, e *endpoint) bool {
	for _, f := range filters {
		if !f.keep(c, e) {
			c.blocked = f.name()
			return false
		}
	}
	return true
}
