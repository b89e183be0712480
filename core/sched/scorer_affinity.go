package sched

// affinityScorer prefers engines that have the prompt's prefix cached, by the
// engine time that this saves. An engine whose predicted queue exceeds the load
// bound gets no bonus, so that a popular prefix doesn't overload one engine.
type affinityScorer struct{}

func (affinityScorer) name() string { return "affinity" }

func (affinityScorer) score(c *cycle, p *pair) float64 {
	e := p.prefill.endpoint
	if e == nil || p.prefill.cachedTokens == 0 || overBound(c, e) {
		return 0
	}
	saved := float64(p.prefill.cachedTokens) / e.prefillRate.mean
	return c.options.AffinityWeight * saved
}

// overBound is true if an endpoint's predicted queue is longer than the load
// bound allows.
func overBound(c *cycle, e *endpoint) bool {
	queue := max(0, e.busyUntil-c.now)
	floor := c.options.Horizon
	bound := max(floor.Seconds(), c.options.LoadBound*c.meanQueue.Seconds())
	return queue.Seconds() > bound
}
