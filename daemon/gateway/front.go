package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/forward"
	"github.com/samphirequay/samphirequay/daemon/listener"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 17 << 10
	// defaultMaxBodyBytes bounds the body of a request until a configuration sets the
	// limit.
	defaultMaxBodyBytes = 8 << 20
	// readTimeout bounds the time to read one request.
	readTimeout = 30 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection, so that the
	// server does not close a connection on which a request is being sent.
	idleTimeout = 75 * time.Second
	// smallReadBuffer is the size of the read buffer of the other listeners, in bytes.
	// They receive short requests.
	smallReadBuffer = 4 << 10
)

// serve opens the listeners and starts the HTTP servers.
func (d *Daemon) serve() error {
	callers := &fasthttp.Server{
		Handler:            d.handle,
		HeaderReceived:     d.headerReceived,
		ErrorHandler:       d.platform.Adapter.ProtocolError,
		ReadBufferSize:     maxHeaderBytes,
		MaxRequestBodySize: defaultMaxBodyBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		// Bodies are read by readBody: the library takes the memory that a length promises.
		StreamRequestBody: true,
		// A body that looks like a form is passed on as it is.
		DisablePreParseMultipartForm: true,
	}
	ready := &fasthttp.Server{Handler: d.platform.Adapter.Ready(d.ready), ReadBufferSize: smallReadBuffer, IdleTimeout: idleTimeout}
	entryAnswers := &fasthttp.Server{Handler: d.platform.Adapter.Entry(d.entryAnswer), ReadBufferSize: smallReadBuffer, IdleTimeout: idleTimeout}
	if err := d.serveOn(listenCallers, d.set.Listen.Callers, callers); err != nil {
		return err
	}
	if err := d.serveOn(listenReady, d.set.Listen.Ready, ready); err != nil {
		return err
	}
	if err := d.serveOn(listenEntry, d.set.Listen.Entry, entryAnswers); err != nil {
		return err
	}
	if d.set.Listen.Metrics == "" {
		return nil
	}
	metricsServer := &fasthttp.Server{Handler: d.metrics.Handler(), ReadBufferSize: smallReadBuffer}
	return d.serveOn(listenMetrics, d.set.Listen.Metrics, metricsServer)
}

// limits returns the limits on callers' requests in the configuration; zero before
// there is one.
func (d *Daemon) limits() route.Limits {
	routes := d.tables.current().Routes
	if routes == nil {
		return route.Limits{}
	}
	return routes.Config().Limits
}

// headerReceived returns the limit on the body of a request whose header was read. A body
// that exceeds it is not awaited; readBody refuses it.
func (d *Daemon) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > d.bodyLimit() {
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: d.limits().BodyBytes}
}

// headerTooLarge reports whether the header exceeds the configured limit.
func (d *Daemon) headerTooLarge(h *fasthttp.RequestHeader) bool {
	limit := d.limits().HeaderBytes
	return limit > 0 && len(h.RawHeaders()) > limit
}

// handle serves one request from a caller.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	if listener.Ended(ctx.Conn()) {
		ctx.SetConnectionClose() // the request crossed the close; nobody can be answered
		return
	}
	if d.headerTooLarge(&ctx.Request.Header) {
		d.answers.Owe(ctx.Conn())
		d.logger.Event("request_refused", "verdict", verdict.NotRun, "code", verdict.CodeTooLarge, "why", "the request header is too large")
		ctx.SetConnectionClose() // its body may be left unread
		d.platform.Adapter.ProtocolError(ctx, &fasthttp.ErrSmallBuffer{})
		return
	}
	charged := d.charged(ctx)
	bodyErr := d.readBody(charged, ctx)
	d.answers.Owe(ctx.Conn())
	if bodyErr != nil {
		d.refuseUnread(ctx, bodyErr)
		return
	}
	d.inFlight.Add(1)
	d.recordCaller()
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
	caller, unwatch := d.watcher.Watch(charged, ctx.Conn())
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

// refuse answers a request with an error. If the caller has disconnected, it also
// closes the connection.
func (d *Daemon) refuse(ctx *fasthttp.RequestCtx, caller context.Context, r *forward.Request, err *verdict.Error) {
	left := time.Duration(0)
	if r.CallerTimeout > 0 {
		left = max(0, r.Arrived+r.CallerTimeout-d.now())
	}
	d.platform.Adapter.Error(ctx, err, left)
	if caller.Err() != nil && err.Code == verdict.CodeCallerGone {
		ctx.SetConnectionClose()
	}
}
