package sched

// leavingFilter excludes endpoints that a label, a report or a refusal marks as
// leaving.
type leavingFilter struct{}

func (leavingFilter) name() string { return "leaving" }

func (leavingFilter) keep(_ *cycle, e *endpoint) bool { return !e.leaving() }
