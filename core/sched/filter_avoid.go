package sched

import "slices"

// avoidFilter leaves out endpoints on which the request has failed.
type avoidFilter struct{}

func (avoidFilter) name() string { return "avoid" }

func (avoidFilter) keep(c *cycle, e *endpoint) bool {
	return !slices.Contains(c.want.Avoid, e.name)
}
