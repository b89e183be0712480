package sched

// leavingFilter leaves out endpoints that any source says are leaving.
type leavingFilter struct{}

func (leavingFilter) name() string { return "leaving" }

func (leavingFilter) keep(_ *cycle, e *endpoint) bool { return !e.leaving() }
