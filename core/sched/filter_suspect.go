package sched

// isolationShare is the part of its patience that a suspect waits for an
// endpoint without other work.
const isolationShare = 0.5

// suspectFilter keeps suspects and other requests apart: nothing is paired
// beside a running suspect, and a suspect goes where nothing else runs for as
// long as it can wait for that.
type suspectFilter struct{}

func (suspectFilter) name() string { return "suspect" }

func (suspectFilter) keep(c *cycle, e *endpoint) bool {
	if e.suspect != nil {
		return false
	}
	if !c.want.Suspect || e.idle() {
		return true
	}
	return c.waited.Seconds() > isolationShare*c.service.patience.Seconds()
}
