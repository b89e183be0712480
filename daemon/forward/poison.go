package forward

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Suspicion is the evidence against requests that break endpoints, shared by
// all daemons.
type Suspicion struct {
	Ledger *poison.Ledger
	// Wall is the time of day by which evidence is dated.
	Wall func() time.Time
	// Spread has new evidence sent to the other daemons. It doesn't wait.
	Spread func()
}

// printOf fingerprints a request by its caller, route, target, prompt and body,
// whatever its id: a caller sends it again under another one. Without caller and
// prompt the streams of one target were one request, and three breaks of
// different ones refused them all. It is made once a request.
func fingerprintOf(r *Request, t *trace) poison.Fingerprint {
	if t.fingerprint == (poison.Fingerprint{}) {
		t.fingerprint = poison.Print(id.Team(t.route.Name), t.service,
			[]byte(r.Caller), []byte(r.Method), []byte(r.Target), []byte(r.Prompt), r.Body)
	}
	return t.fingerprint
}

// judge refuses a request that has broken the endpoints which ran it. Where it
// may run only once the refusal doesn't promise that it has not: an earlier
// sending has.
func (f *Forwarder) checkQuarantine(r *Request, t *trace) *verdict.Error {
	if f.Suspicion.Ledger.Len() == 0 {
		return nil
	}
	now := f.Suspicion.Wall()
	finding := f.Suspicion.Ledger.Check(now, fingerprintOf(r, t))
	if finding.Standing != poison.Held && finding.Standing != poison.Quarantined {
		return nil
	}
	t.reason = "endpoints broke while they ran it"
	v := verdict.NotRun
	if t.attempts > 0 || t.route.Kind == route.NonIdempotent {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.CodeQuarantined, "the request is refused: %d endpoints broke while they ran it", finding.Crashes).
		WithRetryAfter(finding.Until.Sub(now))
}

// broke notes an attempt at whose endpoint the connection broke while the
// request may have run, and one that reached another endpoint than was meant.
func (f *Forwarder) recordFailure(r *Request, t *trace, e registry.Endpoint, err *verdict.Error) {
	if err.Code == verdict.CodeSuperseded {
		f.Misdirected(e)
	}
	if err.Code == verdict.CodeEndpointFailed && err.Verdict != verdict.NotRun {
		f.recordCrash(r, t, e.Name)
	}
}

// brokeOff holds a break against a request. Endpoints come back under other
// names, so that one counts once.
func (f *Forwarder) recordCrash(r *Request, t *trace, e id.Endpoint) {
	suspect := poison.Suspect{Fingerprint: fingerprintOf(r, t), Team: id.Team(t.route.Name)}
	f.Suspicion.Ledger.Crash(f.Suspicion.Wall(), poison.CrashID{Endpoint: e}, []poison.Suspect{suspect})
	f.Suspicion.Spread()
}

// survived clears a request that an endpoint ran to its end.
func (f *Forwarder) clearSuspicion(r *Request, t *trace) {
	if f.Suspicion.Ledger.Len() == 0 {
		return
	}
	if f.Suspicion.Ledger.Finished(f.Suspicion.Wall(), fingerprintOf(r, t)) {
		f.Suspicion.Spread()
	}
}
