package sched

// finishScorer prefers the earliest predicted finish.
type finishScorer struct{}

func (finishScorer) name() string { return "finish" }

func (finishScorer) score(c *cycle, p *pair) float64 {
	return -(p.finish() - c.now).Seconds()
}
