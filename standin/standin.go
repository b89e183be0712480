package standin

import (
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// standIn holds the callbacks of one stand-in that the shared handler needs.
type standIn struct {
	faults *faults
	// serve handles all paths except the control path.
	serve fasthttp.RequestHandler
	// inject applies a fault received on the control path.
	inject func(wire.Fault)
	// counters returns the counters that the control path reports.
	counters func() any
	// replyCanBeLost reports whether the LoseReplies fault applies to a call.
	replyCanBeLost func(ctx *fasthttp.RequestCtx) bool
	// process, if set, returns the process that serves calls now. A hanging call
	// is lost when that process ends.
	process func() process
}

// handler applies the injected faults to each call and runs the stand-in's own
// handler.
func (s *standIn) handler(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == wire.PathControl {
		s.control(ctx)
		return
	}
	if !s.faults.waitHang(s.ended()) {
		resetConnection(ctx)
		return
	}
	if s.faults.state().down {
		refused(fasthttp.StatusServiceUnavailable, wire.ErrorUnavailable, "stand-in is down").write(ctx)
		return
	}
	s.serve(ctx)
	state := s.faults.state()
	sleep(nil, state.delay)
	succeeded := ctx.Response.StatusCode() < fasthttp.StatusBadRequest
	if succeeded && s.replyCanBeLost(ctx) && s.faults.draw(state.loseReplies) {
		resetConnection(ctx)
	}
}

// ended returns a channel that is closed when the current process ends; nil for
// a stand-in whose process never ends.
func (s *standIn) ended() <-chan struct{} {
	if s.process == nil {
		return nil
	}
	return s.process().ctx.Done()
}

// control serves the control path: GET returns the counters, POST injects a
// fault.
func (s *standIn) control(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		setJSON(ctx, s.counters())
		return
	}
	var fault wire.Fault
	if f := decodeBody(ctx, &fault); f != nil {
		f.write(ctx)
		return
	}
	s.inject(fault)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// startStandIn starts a server for a stand-in. Closing the server ends all waits
// of the stand-in's faults.
func startStandIn(addr string, in *standIn) (*Server, error) {
	server, err := startServer(addr, in.handler)
	if err != nil {
		return nil, err
	}
	server.onClose = append(server.onClose, in.faults.close)
	return server, nil
}
