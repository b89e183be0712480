package forward

import (
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Steps of a request, as logged and counted.
const (
	stepCall    = "call"
	stepPrefill = "prefill"
	stepDecode  = "decode"
)

// arrivals counts how often one request arrived at endpoints, as the retry limit of
// its service counts them: an endpoint's refusal is an arrival, and the first
// prefill that an engine accepts is none.
type arrivals struct {
	counted   int
	prefilled bool
	// paid is how many arrivals beyond the first the retry limit has allowed.
	paid int
}

// repeats returns how many arrivals follow the request's first one.
func (a *arrivals) repeats() int { return max(0, a.counted-1) }

// add counts an arrival for the given step, and reports whether it is a repeat.
// accepted tells whether the endpoint took the request.
func (a *arrivals) add(step string, accepted bool) bool {
	if step == stepPrefill && accepted && !a.prefilled {
		a.prefilled = true
		return false
	}
	a.counted++
	return a.counted > 1
}

// reachedEndpoint reports whether an attempt that ended with err arrived at an
// endpoint.
func reachedEndpoint(err *verdict.Error) bool {
	return err == nil || err.Verdict != verdict.NotRun || refusedOnArrival(err)
}

// countArrival counts an attempt that ended with err, unless it reached no
// endpoint.
func (f *Forwarder) countArrival(t *trace, step string, err *verdict.Error) {
	if !reachedEndpoint(err) {
		return
	}
	if t.arrivals.add(step, err == nil) {
		f.stats.repeatArrivals.Add(string(t.service)+"/"+step, 1)
	}
}
