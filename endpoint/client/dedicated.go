package client

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
	"github.com/valyala/fasthttp"
)

// dedicated is one exchange on a connection of its own. Closing it, or its
// caller's leaving, aborts the connection at once; the deadline of its context
// leaves what has arrived.
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

// open dials, sends the request once and reads the response's head until the
// deadline. It takes req over.
func (e *Engine) open(ctx context.Context, what string, req *fasthttp.Request, deadline time.Time) (*dedicatedExchange, error) {
	defer fasthttp.ReleaseRequest(req)
	release, err := e.acquireConn(ctx, what)
	if err != nil {
		return nil, err
	}
	conn, err := dial(ctx, e.address, e.options.DialTimeout)
	if err != nil {
		release()
		return nil, transportError(e.address, what, err)
	}
	d := &dedicatedExchange{ctx: ctx, address: e.address, operation: what, conn: conn, reader: bufio.NewReader(conn), release: release}
	d.resp = fasthttp.AcquireResponse()
	d.stop = conn.EndWith(ctx)
	req.SetHost(e.address)
	if err := d.send(req, deadline); err != nil {
		d.Close()
		return nil, d.classifyError(err)
	}
	e.report(d.resp)
	return d, nil
}

// acquire takes one of the bounded places for dedicated connections.
func (e *Engine) acquireConn(ctx context.Context, what string) (func(), error) {
	if err := contextError(ctx); err != nil {
		return nil, transportError(e.address, what, &notSentError{cause: err})
	}
	select {
	case e.connSlots <- struct{}{}:
		return func() { <-e.connSlots }, nil
	default:
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s at %s: no free connection", what, e.address)
	}
}

// send writes the request and reads the head of the response.
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
	d.resp.StreamBody = true
	return d.resp.ReadLimitBody(d.reader, 0)
}

// fail gives an error its verdict; the end of the context is named as cause.
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

// Close aborts the connection at once.
func (d *dedicatedExchange) Close() {
	d.once.Do(func() {
		d.stop()
		_ = d.conn.Close()
		d.release()
	})
}
