package client

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// pooled makes short calls to one address over pooled connections.
type pooled struct {
	address string
	options Options
	host    *fasthttp.HostClient
}

// newPooled returns a client that never sends a call twice.
func newPooled(address string, o Options) *pooled {
	opt := o.withDefaults()
	host := &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  opt.MaxConns,
		MaxIdleConnDuration:       idleConnLife,
		MaxResponseBodySize:       opt.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dial(context.Background(), addr, opt.DialTimeout)
			if err != nil {
				return nil, err // a nil *Conn is no nil net.Conn
			}
			return conn, nil
		},
	}
	return &pooled{address: address, options: opt, host: host}
}

// neverRetry refuses every retry of the library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// dial opens a connection; a failure is certain not to have sent a byte.
func dial(ctx context.Context, address string, timeout time.Duration) (*netconn.Conn, error) {
	dialer := netconn.Dialer{Dialer: net.Dialer{Timeout: timeout}}
	conn, err := dialer.Dial(ctx, address)
	if err == nil {
		return conn, nil
	}
	if over := contextError(ctx); over != nil {
		err = over
	}
	return nil, &notSentError{cause: err}
}

// reply is a whole response, copied out of the library's buffers.
type reply struct {
	resp *fasthttp.Response
	err  error
}

// exchange sends the request once. It takes req over. When the caller leaves,
// the call goes on unattended until its deadline and its reply is dropped. The
// caller releases the response.
func (p *pooled) exchange(ctx context.Context, what string, req *fasthttp.Request) (*fasthttp.Response, error) {
	if err := contextError(ctx); err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, transportError(p.address, what, &notSentError{cause: err})
	}
	req.SetHost(p.address)
	deadline := deadlineOf(ctx, p.options.Timeout)
	done := make(chan reply, 1)
	go func() {
		resp := fasthttp.AcquireResponse()
		err := p.host.DoDeadline(req, resp, deadline)
		fasthttp.ReleaseRequest(req)
		done <- reply{resp: resp, err: err}
	}()
	var r reply
	select {
	case r = <-done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil, transportError(p.address, what, contextError(ctx))
		}
		// The deadline ends the call as well, unless its reply has arrived.
		r = <-done
	}
	if r.err != nil {
		return nil, transportError(p.address, what, r.err)
	}
	p.report(r.resp)
	return r.resp, nil
}

// report tells the incarnation that a response carries.
func (p *pooled) report(resp *fasthttp.Response) {
	if incarnation := incarnationOf(resp); incarnation != 0 {
		p.options.OnIncarnation(p.address, incarnation)
	}
}

// incarnationOf reads the incarnation of a response; 0 if it has none.
func incarnationOf(resp *fasthttp.Response) uint64 {
	n, err := strconv.ParseUint(string(resp.Header.Peek(wire.HeaderIncarnation)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// deadlineOf returns the context's deadline, or one that is timeout away.
func deadlineOf(ctx context.Context, timeout time.Duration) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(timeout)
}

// call sends in as JSON, if it is not nil, and reads the response into out, if
// that is not nil.
func (p *pooled) call(ctx context.Context, method, path string, in, out any) error {
	req, err := newRequest(method, path, in)
	if err != nil {
		return err
	}
	what := method + " " + path
	resp, err := p.exchange(ctx, what, req)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return statusError(p.address, what, resp, resp.Body())
	}
	return decodeBody(p.address, what, resp.Body(), out)
}

// newRequest builds a request with a JSON body.
func newRequest(method, path string, in any) (*fasthttp.Request, error) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	if in == nil {
		return req, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%s %s: body can't be encoded", method, path).WithCause(err)
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	return req, nil
}

// decodeBody reads a JSON body into out. The call has run by then.
func decodeBody(address, what string, body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return verdict.New(verdict.Ran, verdict.CodeEndpointFailed, "%s at %s: unreadable response", what, address).WithCause(err)
	}
	return nil
}

// Close drops the idle connections.
func (p *pooled) Close() { p.host.CloseIdleConnections() }
