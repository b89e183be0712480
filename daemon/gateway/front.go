package gateway

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/forward"
	"github.com/samphirequay/samphirequay/daemon/upstream"
)

const (
	// headBytes bounds the head of a request.
	maxHeaderBytes = 17 << 10
	// bodyBytes bounds its body while no configuration says how large it may be.
	defaultMaxBodyBytes = 8 << 20
	// readTimeout bounds the reading of one request.
	readTimeout = 30 * time.Second
	// idleTimeout is longer than any caller keeps a connection unused, so that
	// no request crosses the closing of its connection.
	idleTimeout = 75 * time.Second
	// smallReadBuffer is enough for the short requests of the other listeners.
	smallReadBuffer = 4 << 10
	// callerProbeIdle, callerProbeEvery and callerProbeCount find callers whose
	// connection has gone silent.
	callerProbeIdle  = 2 * time.Second
	callerProbeEvery = time.Second
	callerProbeCount = 2
)

// serve opens the listeners and starts the HTTP servers.
func (d *Daemon) serve() error {
	front := &fasthttp.Server{
		Handler:            d.handle,
		HeaderReceived:     d.headerReceived,
		ErrorHandler:       d.platform.Adapter.ProtocolError,
		ReadBufferSize:     maxHeaderBytes,
		MaxRequestBodySize: defaultMaxBodyBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
	}
	ready := &fasthttp.Server{Handler: d.platform.Adapter.Ready(d.ready), ReadBufferSize: smallReadBuffer, IdleTimeout: idleTimeout}
	entryAnswers := &fasthttp.Server{Handler: d.platform.Adapter.Entry(d.entryAnswer), ReadBufferSize: smallReadBuffer, IdleTimeout: idleTimeout}
	if err := d.serveOn("callers", d.set.Listen.Callers, front); err != nil {
		return err
	}
	if err := d.serveOn("ready", d.set.Listen.Ready, ready); err != nil {
		return err
	}
	if err := d.serveOn("entry", d.set.Listen.Entry, entryAnswers); err != nil {
		return err
	}
	if d.set.Listen.Metrics == "" {
		return nil
	}
	shown := &fasthttp.Server{Handler: d.metrics.Handler(), ReadBufferSize: smallReadBuffer}
	return d.serveOn("metrics", d.set.Listen.Metrics, shown)
}

// serveOn opens one listener and serves on it.
func (d *Daemon) serveOn(field, address string, s *fasthttp.Server) error {
	listen := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error { return upstream.SetUserTimeout(raw) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: callerProbeIdle, Interval: callerProbeEvery, Count: callerProbeCount,
		},
	}
	ln, err := listen.Listen(d.ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen.%s", field)
	}
	s.NoDefaultServerHeader = true
	s.NoDefaultContentType = true
	s.NoDefaultDate = true
	s.Logger = httpLogger{d}
	d.servers = append(d.servers, s)
	d.listeners = append(d.listeners, ln)
	go func() {
		if err := s.Serve(ln); err != nil && d.ctx.Err() == nil {
			d.logger.Error("server_ended", "server", field, "why", err)
		}
	}()
	return nil
}

func (d *Daemon) closeListeners() {
	for _, ln := range d.listeners {
		// Nothing is left to do about one that does not close.
		_ = ln.Close()
	}
}

// httpLogger turns what the HTTP library has to say into log lines.
type httpLogger struct{ d *Daemon }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.d.logger.Debug("http", "says", fmt.Sprintf(format, args...))
}

// limits are those that the configuration sets for callers.
func (d *Daemon) limits() route.Limits {
	routes := d.tables.current().Routes
	if routes == nil {
		return route.Limits{}
	}
	return routes.Config().Limits
}

// headReceived says how large the body behind a head may be.
func (d *Daemon) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: d.limits().BodyBytes}
}

// largeHead says whether the head is larger than the configuration allows.
func (d *Daemon) headerTooLarge(h *fasthttp.RequestHeader) bool {
	limit := d.limits().HeadBytes
	return limit > 0 && len(h.RawHeaders()) > limit
}

// handle serves one request of a caller.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	if d.headerTooLarge(&ctx.Request.Header) {
		d.logger.Event("request_refused", "verdict", verdict.NotRun, "code", verdict.CodeTooLarge, "why", "the head is too large")
		d.platform.Adapter.ProtocolError(ctx, &fasthttp.ErrSmallBuffer{})
		return
	}
	d.inFlight.Add(1)
	d.noteCaller()
	if d.stopping.Load() != nil {
		ctx.SetConnectionClose()
	}
	request, err := d.platform.Adapter.Request(ctx)
	if err != nil {
		d.inFlight.Add(-1)
		d.logger.Event("request_refused", "verdict", err.Verdict, "code", err.Code, "why", err.Error())
		d.platform.Adapter.Error(ctx, err, 0)
		return
	}
	request.Arrived = d.now()
	caller, unwatch := d.watcher.Watch(d.ctx, ctx.Conn())
	ended := func() {
		unwatch()
		d.inFlight.Add(-1)
	}
	reply, err := d.forwarder.Run(caller, request)
	if err == nil && reply.Events != nil {
		reply.Events = &trackedStream{ReadCloser: reply.Events, ended: ended}
		d.platform.Adapter.Reply(ctx, reply)
		return
	}
	ended()
	if err == nil {
		d.platform.Adapter.Reply(ctx, reply)
		return
	}
	d.refuse(ctx, caller, request, err)
}

// refuse answers with an error; a caller that is gone gets none.
func (d *Daemon) refuse(ctx *fasthttp.RequestCtx, caller context.Context, r *forward.Request, err *verdict.Error) {
	left := time.Duration(0)
	if r.CallerWaits > 0 {
		left = max(0, r.Arrived+r.CallerWaits-d.now())
	}
	d.platform.Adapter.Error(ctx, err, left)
	if caller.Err() != nil && err.Code == verdict.CodeCallerGone {
		ctx.SetConnectionClose()
	}
}
