package sched

import "github.com/samphirequay/samphirequay/core/live"

// settleFilter keeps a new owner from granting what a former one may have
// granted already: until it has settled, only endpoints with a report get
// work, and a prefill engine only if its report shows none.
type settleFilter struct{}

func (settleFilter) name() string { return "settle" }

func (settleFilter) keep(c *cycle, e *endpoint) bool {
	if !c.settling {
		return true
	}
	if !e.reported {
		return false
	}
	if e.role() == live.RolePrefill {
		return e.report.Running+e.report.Waiting <= len(e.queue)
	}
	return true
}
