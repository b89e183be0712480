package forward

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// CrashEvidence is the evidence against requests that crash endpoints, shared by
// all daemons.
type CrashEvidence struct {
	Ledger *poison.Ledger
	// WallClock returns the wall-clock time for dating evidence.
	WallClock func() time.Time
	// Await waits until this daemon knows the evidence of the others, or ctx ends. A
	// request that is sent before that may crash endpoints although the fleet refuses it.
	Await func(ctx context.Context)
	// Broadcast triggers the sending of new evidence to the other daemons. It
	// doesn't block.
	Broadcast func()
}

// fingerprintOf returns the fingerprint of a request: a hash of its team and of what
// it asks for, which is the host, the method, the target and the body. All that may
// differ when it comes again is left out: the id, the caller's host, the names of the
// parts of its prompt, and the route and service that the configuration chooses. Without
// a body the prompt is part of what a generation asks for: otherwise three crashes caused
// by different streams would quarantine all streams of one target. The fingerprint is
// computed once per request.
func fingerprintOf(r *Request, t *trace) poison.Fingerprint {
	if t.fingerprint != (poison.Fingerprint{}) {
		return t.fingerprint
	}
	content := [][]byte{[]byte(r.Host), []byte(r.Method), []byte(r.Target), r.Body}
	if len(r.Body) == 0 {
		content = append(content, []byte(r.Prompt))
	}
	t.fingerprint = poison.NewFingerprint(t.teamName(), "", content...)
	return t.fingerprint
}

// awaitEvidence waits until this daemon knows the evidence of the others, for as long as
// the request has time.
func (f *Forwarder) awaitEvidence(ctx context.Context, r *Request, t *trace) {
	ctx, cancel := context.WithTimeout(ctx, f.timeLeft(r, t.route))
	defer cancel()
	f.Evidence.Await(ctx)
}

// checkQuarantine refuses a request that has crashed the endpoints that ran it, or with a
// part of its prompt that has crashed those that ran others. It is
// called at the request's arrival and again right before each send: the evidence may have
// come while the request waited. For a non-idempotent request that has crashed
// endpoints the verdict is MayHaveRun, since an earlier attempt may have run.
func (f *Forwarder) checkQuarantine(r *Request, t *trace) *verdict.Error {
	if f.Evidence.Ledger.Len() == 0 {
		return nil
	}
	now := f.Evidence.WallClock()
	finding := f.Evidence.Ledger.Check(now, fingerprintOf(r, t))
	v := verdict.NotRun
	if t.mayHaveRun || (t.route.Kind == route.NonIdempotent && finding.Crashes > 0) {
		v = verdict.MayHaveRun
	}
	if !refuses(finding.Standing) {
		return f.checkParts(t, now, v)
	}
	t.reason = "endpoints broke while they ran it"
	return verdict.New(v, verdict.CodeQuarantined, "the request is refused: %d endpoints broke while they ran it", finding.Crashes).
		WithRetryAfter(finding.Until.Sub(now))
}

func refuses(s poison.Standing) bool { return s == poison.Held || s == poison.Quarantined }

// refusedAsPoison reports whether err is a refusal by checkQuarantine: another endpoint
// would not help.
func refusedAsPoison(err *verdict.Error) bool { return err.Code == verdict.CodeQuarantined }

// recheck checks again, right before a request is sent, what may have changed while it
// waited: its key, a planned stop and the crash evidence.
func (f *Forwarder) recheck(r *Request, t *trace) *verdict.Error {
	if err := f.recheckKey(r, t); err != nil {
		return err
	}
	if err := f.recheckStop(r, t); err != nil {
		return err
	}
	return f.checkQuarantine(r, t)
}

// recordFailure handles a failed attempt: it records a crash if the connection
// broke while the request may have run, and reports the endpoint as misdirected
// if another endpoint has its address.
func (f *Forwarder) recordFailure(r *Request, t *trace, e registry.Endpoint, err *verdict.Error) {
	if err.Code == verdict.CodeSuperseded {
		f.ReportMisdirected(e)
	}
	if err.Code == verdict.CodeEndpointFailed && err.Verdict != verdict.NotRun {
		f.recordBreak(r, t, e.Name, poison.Waiting)
	}
}

// crashCheckTimeout bounds the connection attempts that tell a crash from a break: one of
// this host, and one of others if that fails.
const crashCheckTimeout = 500 * time.Millisecond

// recordBreak handles an exchange that an endpoint broke off. It is a crash, and
// evidence against the request, only if the endpoint accepts no connection any more, from
// this host or another: endpoints that spoil single answers, and a host that loses its
// links or its descriptors, would otherwise have innocent requests refused by the whole
// fleet. progress is how far the endpoint was with the answer.
func (f *Forwarder) recordBreak(r *Request, t *trace, name id.Endpoint, progress poison.Progress) {
	reach := NotReached
	if e, known := f.View().Endpoints[name]; known {
		reach = f.reachable(e, crashCheckTimeout)
	}
	switch reach {
	case Reached:
		f.stats.breaksAlive.Inc()
	case NotReached:
		f.recordCrash(r, t, name, progress)
	default:
		f.stats.breaksUnknown.Inc()
		f.Log.Event("break_unknown", "request", r.ID, "endpoint", name, "why", "this host can open no connection")
	}
}

func (f *Forwarder) reachable(e registry.Endpoint, within time.Duration) Reach {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return f.Endpoints.Reachable(ctx, e)
}

// recordCrash records a crash of an endpoint as evidence against a request. An endpoint
// has a new name after a restart, so each crash counts once.
func (f *Forwarder) recordCrash(r *Request, t *trace, e id.Endpoint, progress poison.Progress) {
	suspect := poison.Suspect{
		Fingerprint: fingerprintOf(r, t), Team: id.Team(t.route.Name), Progress: progress,
		Parts: t.parts, SentUnixMS: t.sentUnixMS,
	}
	now := f.Evidence.WallClock()
	f.Evidence.Ledger.Crash(now, poison.CrashID{Endpoint: e}, []poison.Suspect{suspect})
	f.Evidence.Broadcast()
	finding := f.Evidence.Ledger.Check(now, suspect.Fingerprint)
	kv := []any{"request", r.ID, "print", shortFingerprint(r, t), "content", shortContent(r), "caller", r.Caller, "body_bytes", len(r.Body),
		"endpoint", e, "progress", progress, "crashes", finding.Crashes, "alone", finding.Alone, "standing", finding.Standing}
	f.Log.Event("crash_recorded", append(kv, t.partFields()...)...)
}

// clearEvidence clears the evidence against a request that an endpoint has finished,
// with an error of its own if failed is set. Only a success speaks for the request at
// crashes to come: an endpoint may fail a request without having run it.
func (f *Forwarder) clearEvidence(r *Request, t *trace, failed bool) {
	finished := f.Evidence.Ledger.Succeeded
	if failed {
		finished = f.Evidence.Ledger.Finished
	}
	if finished(f.Evidence.WallClock(), fingerprintOf(r, t)) {
		f.Evidence.Broadcast()
	}
}
