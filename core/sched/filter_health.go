package sched

// healthFilter excludes endpoints that the health view has ejected.
type healthFilter struct{}

func (healthFilter) name() string { return "health" }

func (healthFilter) keep(c *cycle, e *endpoint) bool {
	return c.options.Health == nil || c.options.Health.Allowed(e.name)
}
