package standin

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// failure is an error response.
type failure struct {
	status     int
	notRun     bool
	code       string
	message    string
	retryAfter time.Duration
}

// refused returns the failure of a call that was not run.
func refused(status int, code, message string) *failure {
	return &failure{status: status, notRun: true, code: code, message: message}
}

// failed returns the failure of a call that may have run.
func failed(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message}
}

// write replaces the response by the failure.
func (f *failure) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.SetStatusCode(f.status)
	if f.notRun {
		ctx.Response.Header.Set(wire.HeaderNotRun, "true")
	}
	if f.retryAfter > 0 {
		seconds := int((f.retryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	setJSON(ctx, wire.ErrorBody{Code: f.code, Message: f.message, RetryAfterMS: int(f.retryAfter / time.Millisecond)})
}

// writeReply sets the response to a value as JSON, or to the failure if f is not
// nil.
func writeReply(ctx *fasthttp.RequestCtx, value any, f *failure) {
	if f != nil {
		f.write(ctx)
		return
	}
	setJSON(ctx, value)
}

// setJSON sets the response body to a value as JSON.
func setJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error("stand-in can't encode its answer: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// decodeBody decodes the JSON body of a call.
func decodeBody(ctx *fasthttp.RequestCtx, into any) *failure {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return refused(fasthttp.StatusBadRequest, wire.ErrorBadRequest, "unreadable body: "+err.Error())
	}
	return nil
}

// notFound replies to a call of an unknown path.
func notFound(ctx *fasthttp.RequestCtx) {
	refused(fasthttp.StatusNotFound, wire.ErrorBadRequest, "no such path").write(ctx)
}
