// Package httpjson writes the JSON answers and errors for callers and operators.
package httpjson

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const contentTypeJSON = "application/json"

// Write answers with a JSON body.
func Write(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error("the answer could not be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(append(data, '\n'))
}

// ErrorBody returns the body of an error. It leaves out the cause, which is only
// logged.
func ErrorBody(err *verdict.Error, request id.Request) opapi.ErrorBody {
	return opapi.ErrorBody{Error: opapi.ErrorDetail{
		Message:      err.Message,
		Type:         string(err.Code),
		Code:         err.Code,
		Verdict:      err.Verdict.String(),
		RetryAfterMS: err.RetryAfter.Milliseconds(),
		Request:      string(request),
	}}
}

// WriteError answers with an error. The verdict, the request id and the retry delay
// are in headers as well as in the body.
func WriteError(ctx *fasthttp.RequestCtx, status int, err *verdict.Error, request id.Request) {
	ctx.Response.Header.Set(opapi.HeaderVerdict, err.Verdict.String())
	if request != "" {
		ctx.Response.Header.Set(opapi.HeaderRequest, string(request))
	}
	if err.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, wholeSeconds(err.RetryAfter))
	}
	Write(ctx, status, ErrorBody(err, request))
}

// wholeSeconds rounds up to whole seconds, since Retry-After allows no fractions.
func wholeSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
