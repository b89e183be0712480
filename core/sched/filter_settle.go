package sched

import "github.com/samphirequay/samphirequay/core/live"

// settleFilter keeps a new owner from granting capacity that a former owner may
// have granted already: during the settling period only endpoints with a report
// get work, and a prefill engine only if its report shows no unknown work.
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
