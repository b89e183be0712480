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

// Codes of errors that only endpoints give; all others are in package verdict.
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

// Unwrap gives the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// endedError says that the call's context had ended.
type contextEndedError struct{ cause error }

// Error implements error.
func (e *contextEndedError) Error() string { return e.cause.Error() }

// Unwrap gives the cause.
func (e *contextEndedError) Unwrap() error { return e.cause }

// ended is how a context ended; nil while it goes on. A deadline that has passed
// counts at once: other timers may tell of it before the context does.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &contextEndedError{cause: err}
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return &contextEndedError{cause: context.DeadlineExceeded}
	}
	return nil
}

// transportError turns a failed exchange into an error with a verdict.
func transportError(address, what string, err error) error {
	var notSent *notSentError
	v := verdict.MayHaveRun
	if errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		v = verdict.NotRun
	}
	return verdict.New(v, transportCode(err, v), "%s at %s failed", what, address).WithCause(err)
}

// transportCode names the cause of a failed exchange. A connection that was not
// made in time is the endpoint's failure, which another one may cure; only the
// end of the request's own time is its deadline.
func transportCode(err error, v verdict.Verdict) verdict.Code {
	var over *contextEndedError
	var netErr net.Error
	switch {
	case errors.Is(err, context.Canceled):
		return verdict.CodeCallerGone
	case errors.As(err, &over):
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

// statusError turns an error response into an error with a verdict: not run
// only if the endpoint said so.
func statusError(address, what string, resp *fasthttp.Response, body []byte) error {
	v := verdict.MayHaveRun
	if reportsNotRun(resp) {
		v = verdict.NotRun
	}
	parsed := wire.ErrorBody{Code: string(verdict.CodeEndpointFailed)}
	if json.Unmarshal(body, &parsed) != nil {
		parsed.Message = "no readable error body"
	}
	e := verdict.New(v, verdict.Code(parsed.Code), "%s at %s: status %d: %s", what, address, resp.StatusCode(), parsed.Message)
	return e.WithRetryAfter(retryAfter(resp, parsed))
}

// saysNotRun tells whether the endpoint says that it did not run the call.
func reportsNotRun(resp *fasthttp.Response) bool {
	return string(resp.Header.Peek(wire.HeaderNotRun)) == "true"
}

// retryAfter reads the advice from the body, else from the header.
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
