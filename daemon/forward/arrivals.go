package forward

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/retry"
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
	// sharers and accountAge describe the account that last paid: among how many daemons
	// the slack was divided, and for how long this process had counted retries.
	sharers    int
	accountAge time.Duration
}

// repeats returns how many arrivals follow the request's first one.
func (a *arrivals) repeats() int { return max(0, a.counted-1) }

// unpaid returns how many of the arrivals so far and of the planned ones the retry
// limit has still to allow.
func (a *arrivals) unpaid(planned int) int { return max(0, a.counted+planned-1-a.paid) }

// unused returns how many allowed arrivals have not taken place.
func (a *arrivals) unused() int { return max(0, a.paid-a.repeats()) }

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
	if !t.arrivals.add(step, err == nil) {
		return
	}
	f.stats.repeatArrivals.Add(string(t.service)+"/"+step, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(t.service).RecordArrivals(f.Now(), 1)
}

// payRepeats reports whether the retry limit of a service allows a request the given
// number of further arrivals, and counts them against it. Arrivals are paid for
// before they are sent and all at once, so that no prefill is sent whose decode the
// limit would not allow.
func (f *Forwarder) payRepeats(t *trace, service id.Service, planned int) bool {
	unpaid := t.arrivals.unpaid(planned)
	if unpaid == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Under the lock: once the share has been handed on, RetryWindows has every retry that
	// was allowed by it.
	sharers := f.RetrySharers()
	if !f.window(service).TakeRetries(f.Now(), unpaid, sharers) {
		f.stats.deniedRetries.Inc()
		return false
	}
	t.arrivals.paid += unpaid
	t.arrivals.sharers, t.arrivals.accountAge = sharers, f.Now()-f.startedAt
	f.stats.paidRepeats.Add(string(service), int64(unpaid))
	return true
}

// returnUnused gives back to the retry limit what a request was allowed and does not
// need: the decode engine prefilled the prompt itself, or no engine was granted.
func (f *Forwarder) returnUnused(t *trace) {
	unused := t.arrivals.unused()
	if unused == 0 {
		return
	}
	t.arrivals.paid -= unused
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(t.service).ReturnRetries(unused)
}

// RetryWindows returns the contents of the windows of all services, for the daemon's next
// process.
func (f *Forwarder) RetryWindows() map[id.Service]retry.WindowState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[id.Service]retry.WindowState{}
	for service, w := range f.windows {
		out[service] = w.State(f.Now())
	}
	return out
}

// RestoreRetryWindows goes on with the windows of the daemon's former process, whose
// contents are of the given age.
func (f *Forwarder) RestoreRetryWindows(age time.Duration, states map[id.Service]retry.WindowState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, state := range states {
		f.window(service).Restore(f.Now(), age, state)
	}
}

// arrivalsOfPair is how often a generation that starts again with a new pair of
// engines arrives: once at the decode engine and, unless its first prefill is still
// to be accepted, once at the prefill engine.
func (a *arrivals) arrivalsOfPair() int {
	if a.prefilled {
		return 2
	}
	return 1
}
