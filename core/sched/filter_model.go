package sched

// modelFilter keeps endpoints that are reachable and serve the pool's model. An
// endpoint without a report is kept.
type modelFilter struct{}

func (modelFilter) name() string { return "model" }

func (modelFilter) keep(c *cycle, e *endpoint) bool {
	if !e.reported {
		return true
	}
	if !e.report.Reachable {
		return false
	}
	return c.model == "" || e.report.Model == c.model
}
