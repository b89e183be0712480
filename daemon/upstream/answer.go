package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// Answer is an endpoint's answer. It must be closed.
type Answer struct {
	pool         *Pool
	address      string
	conn         *conn
	resp         *fasthttp.Response
	stopWatching func() bool
	// body is the body of an answer that is not streamed.
	body []byte
	// complete is set once the answer was read to its end.
	complete bool
	once     sync.Once
}

// Status is the answer's status code.
func (a *Answer) Status() int { return a.resp.StatusCode() }

// Header is the answer's header, valid until Close.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.resp.Header }

// Unframed reports whether the answer has neither a length nor chunks: it ends with its
// connection, so that a break can look like the regular end.
func (a *Answer) Unframed() bool { return a.resp.Header.ContentLength() == unframedLength }

// unframedLength is the content length that fasthttp reports for such an answer.
const unframedLength = -2

// Body is the whole body of an answer that is not streamed; it belongs to the caller.
func (a *Answer) Body() []byte { return a.body }

// exchange writes the request and reads the answer that belongs to it.
func (a *Answer) exchange(ctx context.Context, c *Call) *verdict.Error {
	if err := a.conn.SetDeadline(c.Until); err != nil {
		return notRun(c, verdict.CodeUnavailable, err)
	}
	sent, err := a.conn.WriteRequest(c.Request)
	if err != nil && !sent {
		return notRun(c, verdict.CodeUnavailable, err)
	}
	if err != nil {
		return mayHaveRun(ctx, c, err)
	}
	if err := a.read(c); err != nil {
		return mayHaveRun(ctx, c, err)
	}
	if c.Stream {
		return nil
	}
	if err := a.readBody(); err != nil {
		return mayHaveRun(ctx, c, err)
	}
	return nil
}

// readBody reads the body of an answer that is not streamed.
func (a *Answer) readBody() error {
	limit := a.pool.opts.MaxBodyBytes
	length := a.resp.Header.ContentLength()
	if length > limit {
		return fasthttp.ErrBodyTooLarge
	}
	body := bytes.NewBuffer(make([]byte, 0, max(0, length)+bytes.MinRead))
	if _, err := body.ReadFrom(io.LimitReader(a, int64(limit)+1)); err != nil {
		return err
	}
	if body.Len() > limit {
		return fasthttp.ErrBodyTooLarge
	}
	a.body = body.Bytes()
	return nil
}

// read reads the header of the answer that belongs to the request: a late answer to an
// earlier request may precede it. The body is left unread, since the library forgets
// whether a body that it has read was unframed.
func (a *Answer) read(c *Call) error {
	for range maxForeignAnswers + 1 {
		a.resp.Reset()
		a.resp.SkipBody = c.Request.Header.IsHead()
		a.resp.StreamBody = true
		// Without it the library reports a type for an answer that states none.
		a.resp.Header.SetNoDefaultContentType(true)
		if err := a.resp.ReadLimitBody(a.conn.reader, a.pool.opts.MaxBodyBytes); err != nil {
			return err
		}
		a.complete = a.resp.BodyStream() == nil
		if !a.isForeign(c) {
			return nil
		}
		a.pool.foreign.Inc()
		if err := a.discardBody(); err != nil {
			return err
		}
	}
	return errors.New("only answers to other requests came")
}

// isForeign reports whether the answer has another request's id.
func (a *Answer) isForeign(c *Call) bool {
	if c.ID == "" || a.pool.opts.IDHeader == "" {
		return false
	}
	returned := a.resp.Header.Peek(a.pool.opts.IDHeader)
	return len(returned) > 0 && string(returned) != c.ID
}

// discardBody reads a streamed body to its end and discards it.
func (a *Answer) discardBody() error {
	if a.resp.BodyStream() == nil {
		return nil
	}
	_, err := io.Copy(io.Discard, a.resp.BodyStream())
	return err
}

// Read reads the body of a stream as it arrives. It returns io.EOF only at the
// regular end of the body, or when the connection of an Unframed answer ends.
func (a *Answer) Read(b []byte) (int, error) {
	body := a.resp.BodyStream()
	if body == nil {
		return 0, io.EOF
	}
	n, err := body.Read(b)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// ReadRest reads the remaining body of a short stream, at most limit bytes. It
// returns an error if the body is longer.
func (a *Answer) ReadRest(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.New("the body is too large")
	}
	return body, err
}

// SetReadDeadline bounds the next reads of a stream.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept for reuse only if the answer
// was read to its end, no bytes follow it, and the endpoint keeps the connection
// open as well.
func (a *Answer) Close() {
	a.once.Do(func() {
		life, reusable := a.idleLife()
		stopped := a.stopWatching()
		if reusable && stopped && a.conn.SetDeadline(time.Time{}) == nil {
			fasthttp.ReleaseResponse(a.resp)
			a.pool.putIdle(a.address, a.conn, life)
			return
		}
		// Close the connection first, since releasing a streamed response reads
		// its remaining body.
		_ = a.conn.Close()
		a.pool.releaseSlot(a.address)
		fasthttp.ReleaseResponse(a.resp)
	})
}

// idleLife is how long the connection may stay idle; false if it must be closed.
func (a *Answer) idleLife() (time.Duration, bool) {
	h := &a.resp.Header
	if !a.complete || a.Unframed() || a.conn.tunnelled || h.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		return 0, false
	}
	timeout, ok := keepAliveTimeout(string(h.Peek("Keep-Alive")))
	if !ok {
		return a.pool.opts.IdleLife, true
	}
	life := timeout - a.pool.opts.IdleMargin
	return life, life > 0
}

// keepAliveTimeout parses the timeout of a Keep-Alive header, as in "timeout=5".
func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}
