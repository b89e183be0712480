package sched

import "github.com/samphirequay/samphirequay/core/live"

// roleFilter keeps the pool's endpoints of one role.
type roleFilter struct{ role live.Role }

func (roleFilter) name() string { return "role" }

func (f roleFilter) keep(_ *cycle, e *endpoint) bool { return e.inPool && e.role() == f.role }
