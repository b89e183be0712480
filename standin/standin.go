package standin

import (
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// standIn is what the shared handler needs of a stand-in.
type standIn struct {
	faults *faults
	// serve handles all paths but the control path.
	serve fasthttp.RequestHandler
	// inject applies a fault that came by the control path.
	inject func(wire.Fault)
	// counters returns what the control path shows.
	counters func() any
	// losable tells whether the reply of a call may be lost.
	replyCanBeLost func(ctx *fasthttp.RequestCtx) bool
	// process, if set, is the process that takes calls now: a call that hangs
	// is lost when it ends.
	process func() process
}

// handler puts the faults around a stand-in's own handler.
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

// ended is closed once the present process ends; nil for one that never does.
func (s *standIn) ended() <-chan struct{} {
	if s.process == nil {
		return nil
	}
	return s.process().ctx.Done()
}

// control answers the control path: GET counters, POST a fault.
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

// startStandIn listens for a stand-in and ends its waits with the server.
func startStandIn(addr string, in *standIn) (*Server, error) {
	server, err := startServer(addr, in.handler)
	if err != nil {
		return nil, err
	}
	server.onClose = append(server.onClose, in.faults.close)
	return server, nil
}
