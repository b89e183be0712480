package client

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/httphead"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
	"github.com/valyala/fasthttp"
)

// dedicatedExchange is one exchange on its own connection. Close, or a cancelled
// context, aborts the connection immediately. After the deadline of the context,
// data that has already been received can still be read.
type dedicatedExchange struct {
	ctx       context.Context
	address   string
	operation string
	conn      *netconn.Conn
	reader    *bufio.Reader
	resp      *fasthttp.Response
	stop      func() bool
	release   func()
	once      sync.Once
}

// open dials, sends the request once and reads the header of the response, until
// the deadline. It takes ownership of req.
func (e *Engine) open(ctx context.Context, operation string, req *fasthttp.Request, deadline time.Time) (*dedicatedExchange, error) {
	defer fasthttp.ReleaseRequest(req)
	release, err := e.acquireConn(ctx, operation)
	if err != nil {
		return nil, err
	}
	conn, err := dial(ctx, e.address, e.options.DialTimeout)
	if err != nil {
		release()
		return nil, transportError(e.address, operation, err)
	}
	d := &dedicatedExchange{ctx: ctx, address: e.address, operation: operation, conn: conn, reader: bufio.NewReader(conn), release: release}
	d.resp = fasthttp.AcquireResponse()
	d.stop = conn.BindContext(ctx)
	req.SetHost(e.address)
	if err := d.send(req, deadline); err != nil {
		e.reportMalformed(err)
		d.Close()
		return nil, d.classifyError(err)
	}
	e.report(d.resp)
	return d, nil
}

// acquireConn takes one of the bounded number of slots for dedicated connections.
// The returned function releases it.
func (e *Engine) acquireConn(ctx context.Context, operation string) (func(), error) {
	if err := contextError(ctx); err != nil {
		return nil, transportError(e.address, operation, &notSentError{cause: err})
	}
	select {
	case e.connSlots <- struct{}{}:
		return func() { <-e.connSlots }, nil
	default:
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s at %s: no free connection", operation, e.address)
	}
}

// send writes the request and reads the header of the response.
func (d *dedicatedExchange) send(req *fasthttp.Request, deadline time.Time) error {
	if err := d.conn.SetDeadline(deadline); err != nil {
		return err
	}
	sent, err := d.conn.WriteRequest(req)
	if err != nil && !sent {
		return &notSentError{cause: err}
	}
	if err != nil {
		return err
	}
	return httphead.ReadResponse(d.reader, d.resp)
}

// classifyError returns an error with a verdict. If the context has ended, its
// error becomes the cause.
func (d *dedicatedExchange) classifyError(err error) error {
	cause := contextError(d.ctx)
	if cause == nil {
		return transportError(d.address, d.operation, err)
	}
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return transportError(d.address, d.operation, &notSentError{cause: cause})
	}
	return transportError(d.address, d.operation, cause)
}

// Close aborts the connection immediately.
func (d *dedicatedExchange) Close() {
	d.once.Do(func() {
		d.stop()
		_ = d.conn.Close()
		d.release()
	})
}
