package forward

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// record logs the end of a request and updates the metrics.
func (f *Forwarder) record(r *Request, t *trace, reply *Reply, err *verdict.Error) {
	f.returnUnused(t)
	took := f.Now() - r.Arrived
	outcome, status := resultOf(reply, err)
	kv := slices.Concat([]any{"request", r.ID}, t.decisionFields(r), t.servingFields())
	if err != nil {
		kv = append(kv, "verdict", err.Verdict, "why", err.Error(), "retry_after", err.RetryAfter)
	}
	if err != nil && err.Code == verdict.CodeQuarantined {
		kv = append(kv, t.partFields()...)
	}
	if t.refusedPart != (poison.Part{}) {
		f.stats.refusedParts.Inc()
		kv = append(kv, "part", t.refusedPart)
	}
	if outcome == outcomeAnswered && t.route != nil {
		kv = append(kv, "in_time", inTime(t, took))
	}
	if outcome == outcomeAnswered && t.route != nil && t.route.Kind == route.Stream {
		f.Origins.Ended(servedStream(r, t))
	}
	kv = append(kv, "outcome", outcome, "status", status, "took", took, "reason", t.reason)
	f.stats.recordOutcome(outcome, took)
	if err == nil && !reply.Failed() {
		f.Log.Routine("request", kv...)
		return
	}
	f.Log.Event("request", kv...)
}

// Outcomes of requests that endpoints have answered; the others are those of verdict.Code.
const (
	outcomeAnswered       = "answered"
	outcomeEndpointFailed = "endpoint_failed"
)

// resultOf returns the outcome of a request as logged, and the status of its answer; 0 if no
// endpoint answered.
func resultOf(reply *Reply, err *verdict.Error) (outcome string, status int) {
	outcome = outcomeAnswered
	if reply != nil {
		status = reply.Status
		if reply.Failed() {
			outcome = outcomeEndpointFailed
		}
	}
	if err != nil {
		outcome = string(err.Code)
	}
	return outcome, status
}

// decisionFields are the fields of a request's log line that say by what it was decided.
func (t *trace) decisionFields(r *Request) (kv []any) {
	if t.route != nil {
		kv = append(kv, "route", t.route.Name, "service", t.service, "kind", t.route.Kind,
			"target", t.route.TargetLatency, "print", shortFingerprint(r, t))
	}
	if t.team != nil {
		kv = append(kv, "team", t.team.Name, "config_age", t.configAge)
	}
	kv = append(kv, "config", t.config, "registry", table.FormatVersion(t.registry))
	if r.LastEvent != "" {
		kv = append(kv, "behind", r.LastEvent, "resumes", r.FirstAttempt, "began", t.began)
	}
	return kv
}

// servingFields are the fields that say which endpoints served the request, and how.
func (t *trace) servingFields() []any {
	kv := []any{"attempts", t.attempts, "endpoint", t.endpoint}
	if t.software != "" {
		kv = append(kv, "software", t.software)
	}
	if t.prefill != "" {
		kv = append(kv, "prefill", t.prefill, "waited", t.engineWait, "read", t.prefillTime, "first", t.firstEventTime)
	}
	if t.firstEventTime > 0 {
		kv = append(kv, "framed", !t.unframed, "tail_bytes", t.tailBytes)
	}
	if t.arrivals.repeats() > 0 || t.arrivals.paid > 0 {
		kv = append(kv, "repeats", t.arrivals.repeats(), "repeats_paid", t.arrivals.paid,
			"repeats_sharers", t.arrivals.sharers, "repeats_account_age", t.arrivals.accountAge)
	}
	if t.unlisted > 0 {
		kv = append(kv, "unlisted", t.unlisted)
	}
	if t.queueWait > 0 || t.fallbacks > 0 {
		kv = append(kv, "waited", t.queueWait, "fallbacks", t.fallbacks)
	}
	return kv
}

// countUnlisted counts an attempt if the store no longer lists its endpoint.
func (f *Forwarder) countUnlisted(t *trace, e registry.Endpoint) {
	if e.Unlisted() {
		t.unlisted++
		f.stats.sentUnlisted.Inc()
	}
}

// loggedFingerprintBytes is how many bytes of a fingerprint are logged. They
// distinguish the requests of a day: among a million, the chance that two
// collide is 3 in 100 million.
const loggedFingerprintBytes = 8

// shortFingerprint is the start of a request's fingerprint, in hex. It is logged
// since the caller's next attempt has another id but the same fingerprint.
func shortFingerprint(r *Request, t *trace) string {
	full := fingerprintOf(r, t)
	return hex.EncodeToString(full[:loggedFingerprintBytes])
}

// shortContent is the start of a hash of what a request asks for, in hex. Requests with
// the same content and other fingerprints differ in their team, caller or prompt.
func shortContent(r *Request) string {
	full := poison.NewFingerprint("", "", []byte(r.Host), []byte(r.Method), []byte(r.Target), r.Body)
	return hex.EncodeToString(full[:loggedFingerprintBytes])
}

// inTime reports whether an answer met the target latency and the target gap of
// its route.
func inTime(t *trace, took time.Duration) bool {
	answered := took
	if t.route.Kind == route.Stream {
		answered = t.firstEventTime
	}
	return answered <= t.route.TargetLatency && (t.route.TargetGap == 0 || t.maxGap <= t.route.TargetGap)
}
