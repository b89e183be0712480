package forward

import (
	"encoding/hex"
	"time"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// record writes a request's line and counts it.
func (f *Forwarder) record(r *Request, t *trace, reply *Reply, err *verdict.Error) {
	took := f.Now() - r.Arrived
	outcome, status := "answered", 0
	kv := []any{"request", r.ID}
	if t.route != nil {
		kv = append(kv, "route", t.route.Name, "service", t.service, "kind", t.route.Kind,
			"target", t.route.TargetLatency, "print", shortFingerprint(r, t))
	}
	if t.team != nil {
		kv = append(kv, "team", t.team.Name, "config_age", t.configAge)
	}
	kv = append(kv, "config", t.config, "registry", t.registry, "attempts", t.attempts, "endpoint", t.endpoint)
	if t.prefill != "" {
		kv = append(kv, "prefill", t.prefill, "waited", t.waited, "read", t.prefillTime, "first", t.firstEventTime)
	}
	if t.unlisted > 0 {
		kv = append(kv, "unlisted", t.unlisted)
	}
	if reply != nil {
		status = reply.Status
		if reply.Failed() {
			outcome = "endpoint_failed"
		}
	}
	if err != nil {
		outcome = string(err.Code)
		kv = append(kv, "verdict", err.Verdict, "why", err.Error(), "retry_after", err.RetryAfter)
	}
	if outcome == "answered" && t.route != nil {
		kv = append(kv, "in_time", inTime(t, took))
	}
	kv = append(kv, "outcome", outcome, "status", status, "took", took, "reason", t.reason)
	f.stats.recordOutcome(outcome, took)
	if err == nil && !reply.Failed() {
		f.Log.Routine("request", kv...)
		return
	}
	f.Log.Event("request", kv...)
}

// noteSent counts what is sent to an endpoint that the store no longer lists.
func (f *Forwarder) countUnlisted(t *trace, e registry.Endpoint) {
	if e.Unlisted() {
		t.unlisted++
		f.stats.sentUnlisted.Inc()
	}
}

// printBytes of a fingerprint tell the requests of a day apart: among a million,
// two are alike with a chance of 3 in 100 million.
const loggedFingerprintBytes = 8

// shortPrint is the beginning of a request's fingerprint: its caller's next
// attempt has another id and the same fingerprint.
func shortFingerprint(r *Request, t *trace) string {
	print := fingerprintOf(r, t)
	return hex.EncodeToString(print[:loggedFingerprintBytes])
}

// inTime says whether an answer came as its route's callers expect it.
func inTime(t *trace, took time.Duration) bool {
	answered := took
	if t.route.Kind == route.Stream {
		answered = t.firstEventTime
	}
	return answered <= t.route.TargetLatency && (t.route.TargetGap == 0 || t.maxGap <= t.route.TargetGap)
}
