package sched

// isolationShare is the fraction of its patience for which a suspect waits for an
// endpoint without other work.
const isolationShare = 0.5

// suspectFilter separates suspects from other requests: an endpoint that runs a
// suspect gets no other work, and a suspect is placed on an idle endpoint only,
// until isolationShare of its patience has passed.
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
