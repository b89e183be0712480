package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

const (
	// firstBodyBuffer is the size of the buffer for a request's body before more of it has
	// arrived, in bytes.
	firstBodyBuffer = 4 << 10
	// admissionPatience is how long a request waits for bytes before it is refused: a slow
	// caller can be let go meanwhile, and other daemons are asked soon enough.
	admissionPatience = 200 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests that are refused for bytes: callers
	// that don't read are let go within it.
	memoryRetryAfter = time.Second
)

// errIncompleteBody reports a caller that ended its connection within a body.
var errIncompleteBody = eris.New("the caller's connection ended within the body")

// bodyReader reads the body of one request.
type bodyReader struct {
	account *bytebudget.Account
	// length is the length that the caller states; negative if it states none.
	length, limit int
	body          []byte
	// short is set once the bytes can't be held; the rest is discarded, so that the caller
	// gets its answer.
	short bool
}

// readBody reads the body of a request, and replaces the stream of it by what was read. The
// error is bytebudget.ErrShort if the daemon may not hold the request.
func (d *Daemon) readBody(ctx context.Context, rc *fasthttp.RequestCtx) error {
	h := &rc.Request.Header
	r := bodyReader{account: bytebudget.FromContext(ctx), length: h.ContentLength(), limit: d.bodyLimit()}
	if r.length == 0 && statesLength(h) {
		return fasthttp.ErrBodyTooLarge
	}
	// Each request takes something, so that none is admitted while there is nothing.
	if r.take(ctx, 1); !r.short {
		r.account.Give(1)
	}
	if stream := rc.RequestBodyStream(); stream != nil {
		if err := r.readAll(ctx, stream); err != nil {
			return err
		}
		rc.Request.SetBodyRaw(r.body)
	}
	if r.short {
		return bytebudget.ErrShort
	}
	return nil
}

// bodyLimit is the largest body of a request, in bytes.
func (d *Daemon) bodyLimit() int { return cmp.Or(d.limits().BodyBytes, defaultMaxBodyBytes) }

// statesLength reports whether the header, as it was sent, states a length other than 0.
func statesLength(h *fasthttp.RequestHeader) bool {
	for line := range bytes.Lines(h.RawHeaders()) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte(fasthttp.HeaderContentLength)) {
			return len(bytes.Trim(value, " \t\r\n0")) > 0
		}
	}
	return false
}

// take takes bytes for the request.
func (r *bodyReader) take(ctx context.Context, n int) {
	if r.account.TakeWithin(ctx, n, admissionPatience) != nil {
		r.short = true
		r.account.Give(cap(r.body))
		r.body = nil
	}
}

func (r *bodyReader) readAll(ctx context.Context, stream io.Reader) error {
	var discarded [firstBodyBuffer]byte
	for total := 0; ; {
		if !r.short && len(r.body) == cap(r.body) {
			r.grow(ctx)
		}
		free := r.body[len(r.body):cap(r.body)]
		if r.short {
			free = discarded[:]
		}
		n, err := stream.Read(free)
		total += n
		if !r.short {
			r.body = r.body[:len(r.body)+n]
		}
		switch {
		case total > r.limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return r.checkWhole(total)
		case err != nil:
			return err
		}
	}
}

// checkWhole checks that a body which has ended has the length that its caller states: the
// stream of such a body ends in the same way when the caller's connection does. That of a
// body in chunks ends only behind its last chunk.
func (r *bodyReader) checkWhole(total int) error {
	if total < r.length {
		return eris.Wrapf(errIncompleteBody, "%d of %d bytes", total, r.length)
	}
	return nil
}

// grow doubles the buffer, up to what the caller states.
func (r *bodyReader) grow(ctx context.Context) {
	size := max(firstBodyBuffer, 2*cap(r.body))
	if left := r.length - len(r.body); left > 0 {
		size = min(size, r.length)
	}
	if r.take(ctx, size); r.short {
		return
	}
	grown := make([]byte, len(r.body), size)
	copy(grown, r.body)
	r.account.Give(cap(r.body))
	r.body = grown
}

// refuseForMemory answers a request that the daemon may not hold.
func (d *Daemon) refuseForMemory(rc *fasthttp.RequestCtx) {
	err := verdict.New(verdict.NotRun, verdict.CodeMemoryShort, "this daemon holds as many bytes as it may").WithRetryAfter(memoryRetryAfter)
	d.logger.Event("bytes_refused", "verdict", err.Verdict, "code", err.Code, "held", d.platform.Budget.Held(), "why", err.Error())
	d.platform.Adapter.Error(rc, err, 0)
}

// refuseUnread answers a request whose body can't be read whole. What follows on its
// connection is no request.
func (d *Daemon) refuseUnread(rc *fasthttp.RequestCtx, err error) {
	rc.SetConnectionClose()
	if errors.Is(err, bytebudget.ErrShort) {
		d.refuseForMemory(rc)
		return
	}
	code := verdict.CodeBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = verdict.CodeTooLarge
	} else {
		d.incomplete.Inc()
	}
	d.logger.Event("request_refused", "verdict", verdict.NotRun, "code", code, "why", err)
	d.platform.Adapter.ProtocolError(rc, err)
}
