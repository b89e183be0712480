package client

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// Codes of errors that only endpoints return; all other codes are in package
// verdict.
const (
	CodeKVGone    verdict.Code = wire.ErrorKVGone
	CodeRole      verdict.Code = wire.ErrorRole
	CodeCancelled verdict.Code = wire.ErrorCancelled
	CodeDuplicate verdict.Code = wire.ErrorDuplicate
	CodeUnknown   verdict.Code = wire.ErrorUnknown
	CodeOwner     verdict.Code = wire.ErrorOwner
	CodeFence     verdict.Code = wire.ErrorStaleFence
	CodeNotFound  verdict.Code = wire.ErrorNotFound
)

// notSentError marks a failure before the first byte of a call was sent.
type notSentError struct{ cause error }

// Error implements error.
func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// contextEndedError marks a failure because the call's context has ended.
type contextEndedError struct{ cause error }

// Error implements error.
func (e *contextEndedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *contextEndedError) Unwrap() error { return e.cause }

// contextError returns the error of a context that has ended, or nil. It checks the
// deadline as well, since other timers may fire before the context reports it.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &contextEndedError{cause: err}
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return &contextEndedError{cause: context.DeadlineExceeded}
	}
	return nil
}

// transportError returns the error, with a verdict, of a failed exchange.
func transportError(address, operation string, err error) error {
	var notSent *notSentError
	v := verdict.MayHaveRun
	if errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		v = verdict.NotRun
	}
	return verdict.New(v, transportCode(err, v), "%s at %s failed", operation, address).WithCause(err)
}

// transportCode returns the code of a failed exchange. A dial timeout is a failure
// of the endpoint, after which another endpoint may serve the request; before
// anything was sent, CodeDeadline is used only for the request's own deadline.
func transportCode(err error, v verdict.Verdict) verdict.Code {
	var ctxEnded *contextEndedError
	var netErr net.Error
	switch {
	case errors.Is(err, context.Canceled):
		return verdict.CodeCallerGone
	case errors.As(err, &ctxEnded):
		return verdict.CodeDeadline
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return verdict.CodeOverloaded
	case v == verdict.NotRun:
		return verdict.CodeUnavailable
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
		return verdict.CodeDeadline
	default:
		return verdict.CodeEndpointFailed
	}
}

// statusError returns the error, with a verdict, of an error response. The verdict
// is NotRun only if the endpoint reports it.
func statusError(address, operation string, resp *fasthttp.Response, body []byte) error {
	v := verdict.MayHaveRun
	if reportsNotRun(resp) {
		v = verdict.NotRun
	}
	parsed := wire.ErrorBody{Code: string(verdict.CodeEndpointFailed)}
	if json.Unmarshal(body, &parsed) != nil {
		parsed.Message = "no readable error body"
	}
	e := verdict.New(v, verdict.Code(parsed.Code), "%s at %s: status %d: %s", operation, address, resp.StatusCode(), parsed.Message)
	return e.WithRetryAfter(retryAfter(resp, parsed))
}

// reportsNotRun reports whether a response states that the call was not run.
func reportsNotRun(resp *fasthttp.Response) bool {
	return string(resp.Header.Peek(wire.HeaderNotRun)) == "true"
}

// retryAfter returns the advised retry delay from the body, else from the header.
func retryAfter(resp *fasthttp.Response, body wire.ErrorBody) time.Duration {
	if body.RetryAfterMS > 0 {
		return time.Duration(body.RetryAfterMS) * time.Millisecond
	}
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
