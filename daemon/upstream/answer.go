package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
	"github.com/samphirequay/samphirequay/endpoint/httphead"
)

// Answer is an endpoint's answer. It must be closed.
type Answer struct {
	pool         *Pool
	address      string
	conn         *conn
	resp         *fasthttp.Response
	stopWatching func() bool
	// until is when the answer must have arrived.
	until time.Time
	// segments is the body of an answer that is not streamed.
	segments [][]byte
	// own is charged with the body if nothing else is; nil before there is one.
	own *bytebudget.Account
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
func (a *Answer) Unframed() bool {
	return a.resp.BodyStream() != nil && a.resp.Header.ContentLength() == unframedLength
}

// unframedLength is the content length that fasthttp reports for such an answer, and for one
// that has no body.
const unframedLength = -2

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
	if err := a.readBody(ctx, c.maxBodyBytes(a.pool)); err != nil {
		return mayHaveRun(ctx, c, err)
	}
	return nil
}

// read reads the header of the answer that belongs to the request: a late answer to an
// earlier request may precede it. The body is left unread, since the library forgets
// whether a body that it has read was unframed.
func (a *Answer) read(c *Call) error {
	for range maxForeignAnswers + 1 {
		a.resp.Reset()
		a.resp.SkipBody = c.Request.Header.IsHead()
		// Without it the library reports a type for an answer that states none.
		a.resp.Header.SetNoDefaultContentType(true)
		if err := httphead.ReadResponse(a.conn.reader, a.resp); err != nil {
			a.pool.countMalformed(err)
			return err
		}
		a.complete = a.resp.BodyStream() == nil
		if a.hasTwoIDs() {
			return errJoinedHeads
		}
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

// errJoinedHeads reports a head that broke off and was read on in the head of another answer:
// it can't be told whose body follows.
var errJoinedHeads = errors.New("the answer names two requests")

// hasTwoIDs reports whether the answer names more than one request.
func (a *Answer) hasTwoIDs() bool {
	if a.pool.opts.IDHeader == "" {
		return false
	}
	ids := a.resp.Header.PeekAll(a.pool.opts.IDHeader)
	return slices.ContainsFunc(ids, func(id []byte) bool { return !bytes.Equal(id, ids[0]) })
}

// isForeign reports whether the answer has another request's id.
func (a *Answer) isForeign(c *Call) bool {
	if c.ID == "" || a.pool.opts.IDHeader == "" {
		return false
	}
	returned := a.resp.Header.Peek(a.pool.opts.IDHeader)
	return len(returned) > 0 && string(returned) != c.ID
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

// SetReadDeadline bounds the next reads of a stream.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept for reuse only if the answer
// was read to its end, no bytes follow it, and the endpoint keeps the connection
// open as well.
func (a *Answer) Close() {
	a.once.Do(func() {
		a.own.Close()
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
