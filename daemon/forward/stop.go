package forward

import (
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// checkStop returns an error if this daemon stops before a request can be known to end.
func (f *Forwarder) checkStop(r *Request, t *trace) *verdict.Error {
	if !f.StopsTooSoon(t.route.Kind, f.deadline(r, t.route)) {
		return nil
	}
	t.reason = "this daemon is stopping"
	v := verdict.NotRun
	if t.mayHaveRun {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.CodeLeaving, "this daemon is stopping")
}

// recheckStop is checkStop for a request that was taken, and is about to be sent after a wait or
// once more. A stream that was taken goes on elsewhere if it is broken off.
func (f *Forwarder) recheckStop(r *Request, t *trace) *verdict.Error {
	if t.route.Kind == route.Stream {
		return nil
	}
	return f.checkStop(r, t)
}
