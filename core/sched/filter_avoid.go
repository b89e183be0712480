package sched

import "slices"

// avoidFilter excludes endpoints on which earlier attempts of the request failed.
type avoidFilter struct{}

func (avoidFilter) name() string { return "avoid" }

func (avoidFilter) keep(c *cycle, e *endpoint) bool {
	return !slices.Contains(c.want.Avoid, e.name)
}
