package client

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/httphead"
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

// newPooled returns a client that sends each call at most once.
func newPooled(address string, o Options) *pooled {
	options := o.withDefaults()
	host := &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  options.MaxConns,
		MaxIdleConnDuration:       idleConnLife,
		MaxResponseBodySize:       options.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dial(context.Background(), addr, options.DialTimeout)
			if err != nil {
				return nil, err // returning conn would give a non-nil net.Conn with a nil *Conn
			}
			return httphead.NewConn(conn, func(err error) { options.OnMalformed(address, err) }), nil
		},
	}
	return &pooled{address: address, options: options, host: host}
}

// neverRetry disables the retries of the library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// dial opens a connection. Its errors are notSentErrors, since nothing was sent.
func dial(ctx context.Context, address string, timeout time.Duration) (*netconn.Conn, error) {
	dialer := netconn.Dialer{Dialer: net.Dialer{Timeout: timeout}}
	conn, err := dialer.Dial(ctx, address)
	if err == nil {
		return conn, nil
	}
	if ctxErr := contextError(ctx); ctxErr != nil {
		err = ctxErr
	}
	return nil, &notSentError{cause: err}
}

// reply is the result of a call: a response or an error.
type reply struct {
	resp *fasthttp.Response
	err  error
}

// exchange sends the request once. It takes ownership of req, and the caller must
// release the response. When ctx is cancelled, exchange returns immediately; the
// call continues in the background until its deadline and its reply is dropped.
func (p *pooled) exchange(ctx context.Context, operation string, req *fasthttp.Request) (*fasthttp.Response, error) {
	if err := contextError(ctx); err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, transportError(p.address, operation, &notSentError{cause: err})
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
			return nil, transportError(p.address, operation, contextError(ctx))
		}
		// The call has the same deadline, so it ends too; a reply that has already
		// arrived is still returned.
		r = <-done
	}
	if r.err != nil {
		return nil, transportError(p.address, operation, r.err)
	}
	p.report(r.resp)
	return r.resp, nil
}

// report passes the incarnation in a response, if any, to OnIncarnation.
func (p *pooled) report(resp *fasthttp.Response) {
	if incarnation := incarnationOf(resp); incarnation != 0 {
		p.options.OnIncarnation(p.address, incarnation)
	}
}

// reportMalformed passes the error of a response that is none to OnMalformed.
func (p *pooled) reportMalformed(err error) {
	if _, ok := httphead.RuleOf(err); ok {
		p.options.OnMalformed(p.address, err)
	}
}

// incarnationOf returns the incarnation in a response; 0 if it has none.
func incarnationOf(resp *fasthttp.Response) uint64 {
	n, err := strconv.ParseUint(string(resp.Header.Peek(wire.HeaderIncarnation)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// deadlineOf returns the deadline of the context, or timeout from now if it has none.
func deadlineOf(ctx context.Context, timeout time.Duration) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(timeout)
}

// call sends in as JSON unless it is nil, and decodes the response into out unless
// it is nil.
func (p *pooled) call(ctx context.Context, method, path string, in, out any) error {
	req, err := newRequest(method, path, in)
	if err != nil {
		return err
	}
	operation := method + " " + path
	resp, err := p.exchange(ctx, operation, req)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return statusError(p.address, operation, resp, resp.Body())
	}
	return decodeBody(p.address, operation, resp.Body(), out)
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

// decodeBody decodes a JSON body into out. Its errors have the verdict Ran, since
// the endpoint has responded.
func decodeBody(address, operation string, body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return verdict.New(verdict.Ran, verdict.CodeEndpointFailed, "%s at %s: unreadable response", operation, address).WithCause(err)
	}
	return nil
}

// Close closes the idle connections.
func (p *pooled) Close() { p.host.CloseIdleConnections() }
