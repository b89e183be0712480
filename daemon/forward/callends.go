package forward

import (
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// maySend returns a function that asks ask and records that it refused.
func (a *callAttempt) maySend(ask func() bool) func() bool {
	return func() bool {
		ok := ask()
		if !ok {
			a.withheld.Store(true)
		}
		return ok
	}
}

// reportEnd reports the end of an attempt to the owner that granted its endpoint, or ends
// the fallback that it was. It is called once for each attempt.
func (c *callAttempts) reportEnd(a *callAttempt) {
	if a.fallback {
		c.f.endFallback(c.service.Name)
	}
	if a.grant == nil {
		return
	}
	p := c.f.endOf(a)
	p.Request = a.grant.Request
	c.f.Pairer.Progress(p)
}

// endOf returns the end of an attempt as its pool's owner is to know it.
func (f *Forwarder) endOf(a *callAttempt) sched.Progress {
	cancelled := sched.Progress{Phase: sched.PhaseCancelled}
	failed := sched.Progress{Phase: sched.PhaseFailed, Endpoint: a.endpoint.Name, ServiceTime: f.Now() - a.startedAt}
	if a.err == nil && !a.reply.Failed() {
		return sched.Progress{Phase: sched.PhaseDone, ServiceTime: failed.ServiceTime}
	}
	if a.err == nil {
		return failed
	}
	now, known := f.View().Endpoints[a.endpoint.Name]
	failed.Leaving = a.err.Verdict == verdict.NotRun && known && now.Leaving
	switch {
	case a.withheld.Load():
		return cancelled
	case a.err.Code == verdict.CodeCallerGone:
		// The caller has left, or another endpoint has answered; a silent endpoint is to
		// blame all the same.
		if !a.counted {
			return cancelled
		}
		failed.TimedOut = true
	case a.err.Code == verdict.CodeDeadline:
		if a.err.Verdict == verdict.NotRun {
			return cancelled
		}
		failed.TimedOut = true
	case a.err.Code == verdict.CodeOverloaded:
		failed.Full = !failed.Leaving
	case a.err.Code == verdict.CodeUnavailable, a.err.Code == verdict.CodeSuperseded:
		failed.Unreachable = true
	}
	return failed
}
