package front

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/httpjson"
)

// statusOf maps an error to an HTTP status. A caller that reads only the status
// can't tell from 502 or 504 whether its request ran, so they are only used for
// requests that may have run.
func statusOf(err *verdict.Error) int {
	status := statusOfCode(err.Code)
	if err.Verdict == verdict.NotRun && status > fasthttp.StatusInternalServerError {
		return fasthttp.StatusServiceUnavailable
	}
	return status
}

// statusOfCode maps a code to an HTTP status.
func statusOfCode(code verdict.Code) int {
	switch code {
	case verdict.CodeBadRequest:
		return fasthttp.StatusBadRequest
	case verdict.CodeUnauthorized:
		return fasthttp.StatusUnauthorized
	case verdict.CodeForbidden:
		return fasthttp.StatusForbidden
	case verdict.CodeUnknownService:
		return fasthttp.StatusNotFound
	case verdict.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case verdict.CodeTeamLimit:
		return fasthttp.StatusTooManyRequests
	case verdict.CodeQuarantined:
		return fasthttp.StatusUnprocessableEntity
	case verdict.CodeClaimed, verdict.CodeConflict, verdict.CodeSuperseded:
		return fasthttp.StatusConflict
	case verdict.CodeEndpointFailed:
		return fasthttp.StatusBadGateway
	case verdict.CodeDeadline:
		return fasthttp.StatusGatewayTimeout
	case verdict.CodeInternal:
		return fasthttp.StatusInternalServerError
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// writeError answers with an error. Nothing may have been written before.
func writeError(ctx *fasthttp.RequestCtx, err *verdict.Error, request id.Request) {
	httpjson.WriteError(ctx, statusOf(err), err, request)
}

// reject refuses a request that has no id yet, counts it and logs it.
func (s *Server) reject(ctx *fasthttp.RequestCtx, err *verdict.Error) {
	s.stats.refused.Add(string(err.Code), 1)
	path := ctx.Path()
	s.Log("rejected", "path", string(path[:min(len(path), maxEchoBytes)]), "code", err.Code, "why", err.Message,
		"revision", s.Directory().Document().Revision, "newest", s.Newest())
	writeError(ctx, err, "")
}

// protocolError answers a request that fasthttp failed to read.
func (s *Server) protocolError(ctx *fasthttp.RequestCtx, err error) {
	verr := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request could not be read: %v", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		verr = verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is larger than %d bytes", s.MaxBodyBytes)
	}
	s.reject(ctx, verr)
}
