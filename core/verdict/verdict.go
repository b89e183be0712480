// Package verdict says, for every failed request, whether the work may have
// run at an endpoint. Callers of non-idempotent calls decide on it whether a
// repeat is safe.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether a request may have run.
type Verdict uint8

const (
	// NotRun means that no endpoint has run the request and none will.
	NotRun Verdict = iota + 1
	// MayHaveRun means that an endpoint may have run the request, wholly or in part.
	MayHaveRun
	// Ran means that an endpoint is known to have run the request.
	Ran
)

// String gives the verdict as it stands in headers, JSON bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Worse returns the verdict that promises less: Ran and MayHaveRun go before NotRun.
func Worse(a, b Verdict) Verdict {
	return max(a, b)
}

// Code names the cause of a failure; it is stable and part of the API.
type Code string

// The codes that callers see in the JSON body of an error.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeUnknownService   Code = "unknown_service"
	CodeTooLarge         Code = "too_large"
	CodeOverloaded       Code = "overloaded"
	CodeTeamLimit        Code = "team_limit"
	CodeNoEndpoint       Code = "no_endpoint"
	CodeDeadline         Code = "deadline"
	CodeQuarantined      Code = "quarantined"
	CodeEndpointFailed   Code = "endpoint_failed"
	CodeKVGone           Code = "kv_gone"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeClaimed          Code = "already_claimed"
	CodeCallerGone       Code = "caller_gone"
	CodeSuperseded       Code = "superseded"
	CodeLeaving          Code = "leaving"
	CodeConflict         Code = "conflict"
	CodeUnavailable      Code = "unavailable"
	CodeInternal         Code = "internal"
)

// Error is the one error type that crosses a stage boundary of a request.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code names the cause.
	Code Code
	// Message says what went wrong and where, for a person.
	Message string
	// RetryAfter tells the caller when to come back; zero means no advice.
	RetryAfter time.Duration
	// Cause is the underlying error, kept for logs and never shown to callers.
	Cause error
}

// PassingRetryAfter is advised to a caller whose request was not run for a cause
// that passes by itself, where nothing better is known.
const PassingRetryAfter = time.Second

// Passing says whether what kept a request from running passes by itself: its
// caller should come back. What is left is the caller's own fault, or would be
// the same the next time.
func (c Code) Transient() bool {
	switch c {
	case CodeKVGone, CodeDeadline, CodeUnavailable, CodeLeaving, // an engine, or this daemon, for now
		CodeOverloaded, CodeTeamLimit, // room, which others give back
		CodeEndpointFailed, CodeSuperseded, CodeClaimUnavailable: // another attempt goes elsewhere
		return true
	default:
		return false
	}
}

// Advise gives an error of a request that was not run the usual advice to come
// back, if its cause passes by itself and it has no advice yet.
func (e *Error) Advise() {
	if e.Verdict == NotRun && e.RetryAfter == 0 && e.Code.Transient() {
		e.RetryAfter = PassingRetryAfter
	}
}

// New returns an Error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that advises the caller to wait d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy that keeps the underlying error for logs.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.Cause)
}

// Unwrap gives the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of err. An error without a verdict may have run: the
// cautious answer where a path forgot to say.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error, wrapping it as an internal one where it has no verdict.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, "internal error").WithCause(err)
}
