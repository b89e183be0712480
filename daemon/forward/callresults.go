package forward

import (
	"slices"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// end records the result of an attempt, for the call, the balancer and the log.
func (c *callAttempts) end(a *callAttempt) {
	f, r, t := c.f, c.request, c.trace
	c.remove(a)
	if !a.counted {
		f.countArrival(t, stepCall, a.err)
	}
	if a.err == nil {
		a.reply, a.err = f.checkReply(a.reply, a.endpoint, f.timeLeft(r, t.route))
	}
	c.keep(a)
	took := f.Now() - a.startedAt
	f.done(a.endpoint, a.startedAt, outcomeOf(a.reply, a.err))
	c.reportEnd(a)
	t.sentUnixMS = a.sentUnixMS
	switch {
	case a.err != nil:
		f.recordFailure(r, t, a.endpoint, a.err)
		f.Log.Event("attempt_failed", "request", r.ID, "attempt", a.number, "endpoint", a.endpoint.Name, "took", took,
			"verdict", a.err.Verdict, "code", a.err.Code, "why", a.err.Error())
		return
	case a.reply.Failed():
		f.Log.Event("attempt_failed", "request", r.ID, "attempt", a.number, "endpoint", a.endpoint.Name, "took", took,
			"verdict", verdict.Ran, "status", a.reply.Status)
	}
	f.clearEvidence(r, t, a.reply.Failed())
	if a.reply.Succeeded() {
		f.clearParts(t)
	}
}

// remove removes an attempt that has ended from those under way.
func (c *callAttempts) remove(a *callAttempt) {
	c.pending = slices.DeleteFunc(c.pending, func(p *callAttempt) bool { return p == a })
}

// keep records what an attempt that has ended means for the result of the call.
func (c *callAttempts) keep(a *callAttempt) {
	if a.err != nil && a.err.Verdict == verdict.NotRun {
		c.refused++
		c.failure = worseError(c.failure, a.err)
		return
	}
	c.trace.mayHaveRun = true
	c.ran++
	if a.number > c.lastNumber {
		c.lastNumber = a.number
		c.last, c.failure = a.reply, a.err
	}
}

// release waits for the attempts that the end of the call has cancelled, since they read
// the request, and records their ends.
func (c *callAttempts) release() {
	c.stopTimer()
	for len(c.pending) > 0 {
		a := <-c.results
		c.remove(a)
		if !a.counted {
			c.f.countArrival(c.trace, stepCall, a.err)
		}
		c.f.done(a.endpoint, a.startedAt, outcomeOf(a.reply, a.err))
		c.reportEnd(a)
		c.f.Log.Routine("attempt_released", "request", c.request.ID, "attempt", a.number, "endpoint", a.endpoint.Name, "took", c.f.Now()-a.startedAt)
	}
}
