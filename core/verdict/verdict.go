// Package verdict classifies failed requests by whether an endpoint may have run
// them. Callers of non-idempotent calls use the verdict to decide whether a retry
// is safe.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have run.
type Verdict uint8

const (
	// NotRun means that no endpoint has run the request and none will.
	NotRun Verdict = iota + 1
	// MayHaveRun means that an endpoint may have run the request, wholly or in part.
	MayHaveRun
	// Ran means that an endpoint is known to have run the request.
	Ran
)

// String returns the verdict as written in headers, JSON bodies and logs.
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

// Worse returns the verdict with the weaker guarantee, in ascending order: NotRun,
// MayHaveRun, Ran.
func Worse(a, b Verdict) Verdict {
	return max(a, b)
}

// Code identifies the cause of a failure. Codes are stable and part of the API.
type Code string

// Codes in the JSON body of an error.
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
	CodeMemoryShort      Code = "memory_short"
	CodeInternal         Code = "internal"
)

// Error is the only error type that is passed between the stages of a request.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Code identifies the cause.
	Code Code
	// Message describes the failure and where it occurred, for humans.
	Message string
	// RetryAfter is the advised delay before a retry; zero means no advice.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only; it is never sent to callers.
	Cause error
}

// TransientRetryAfter is the default retry delay advised to a caller whose request
// was not run because of a transient failure.
const TransientRetryAfter = time.Second

// Transient reports whether a failure that kept a request from running is
// transient, so that its caller should retry. All other failures are caused by the
// caller, or a retry would fail in the same way.
func (c Code) Transient() bool {
	switch c {
	case CodeKVGone, CodeDeadline, CodeUnavailable, CodeLeaving, // an engine or this daemon is unavailable for a time
		CodeOverloaded, CodeTeamLimit, CodeMemoryShort, // capacity that other requests will release
		CodeEndpointFailed, CodeSuperseded, CodeClaimUnavailable: // another attempt uses another endpoint or daemon
		return true
	default:
		return false
	}
}

// Advise sets the default RetryAfter on an error of a request that was not run, if
// the failure is transient and no RetryAfter is set.
func (e *Error) Advise() {
	if e.Verdict == NotRun && e.RetryAfter == 0 && e.Code.Transient() {
		e.RetryAfter = TransientRetryAfter
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

// WithCause returns a copy with the underlying error, which is for logs only.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of err. For an error without a verdict it is MayHaveRun,
// the conservative default.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error; an error without a verdict is wrapped as an internal
// error.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, "internal error").WithCause(err)
}
