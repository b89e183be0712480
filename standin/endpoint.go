package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

const (
	// DefaultLeaveGrace is how long a leaving endpoint still takes new work.
	DefaultLeaveGrace = 3 * time.Second
	// DefaultSlots is how many requests or calls an endpoint runs at once.
	DefaultSlots = 4
	// DefaultLoadLag is how old a load report is.
	DefaultLoadLag = 100 * time.Millisecond
	// countedKeys bounds how many requests or keys an endpoint counts.
	maxCountedKeys = 1 << 16
)

// process is one start of an endpoint. It ends when the endpoint crashes.
type process struct {
	incarnation uint64
	ctx         context.Context
	end         context.CancelFunc
}

// endpoint is what engines and plain services share: incarnations and crashes.
type endpoint struct {
	faults       *faults
	restartDelay time.Duration
	leaveGrace   time.Duration

	mu      sync.Mutex
	proc    process
	server  *Server
	crashes int64
}

// newEndpoint returns an endpoint in its first incarnation. Incarnations begin
// with the time in milliseconds, so that a later process has a higher one.
func newEndpoint(seed uint64, restartDelay, leaveGrace time.Duration) *endpoint {
	if restartDelay <= 0 {
		restartDelay = DefaultRestartDelay
	}
	if leaveGrace <= 0 {
		leaveGrace = DefaultLeaveGrace
	}
	e := &endpoint{faults: newFaults(seed), restartDelay: restartDelay, leaveGrace: leaveGrace}
	e.proc = newProcess(uint64(time.Now().UnixMilli()))
	return e
}

// newProcess begins an incarnation.
func newProcess(incarnation uint64) process {
	ctx, end := context.WithCancel(context.Background())
	return process{incarnation: incarnation, ctx: ctx, end: end}
}

// start listens at addr.
func (e *endpoint) start(addr string, in *standIn) (*Server, error) {
	in.process = e.process
	server, err := startStandIn(addr, in)
	if err != nil {
		return nil, err
	}
	server.onClose = append(server.onClose, e.stop)
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	return server, nil
}

// stop ends the incarnation for good.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proc.end()
}

// restart ends the incarnation, cuts all connections, and listens again after
// the restart delay. The caller holds mu.
func (e *endpoint) restart() {
	e.crashes++
	e.proc.end()
	e.proc = newProcess(e.proc.incarnation + 1)
	server := e.server
	if server == nil {
		return
	}
	aborts := server.abort()
	time.AfterFunc(e.restartDelay, func() { server.reopen(aborts) })
}

// process is the current process.
func (e *endpoint) process() process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc
}

// Incarnation is the current incarnation.
func (e *endpoint) Incarnation() uint64 {
	return e.process().incarnation
}

// stamp sets the incarnation header of a response.
func setIncarnationHeader(ctx *fasthttp.RequestCtx, incarnation uint64) {
	ctx.Response.Header.Set(wire.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
}

// leavingRefusal refuses new work once the grace of a leaving endpoint is over.
func (e *endpoint) leavingRefusal() *failure {
	since, leaving := e.faults.leavingSince()
	if !leaving || time.Since(since) < e.leaveGrace {
		return nil
	}
	return refused(fasthttp.StatusServiceUnavailable, wire.ErrorLeaving, "endpoint is leaving")
}

// isLeaving tells whether the endpoint says that it leaves.
func (e *endpoint) isLeaving() bool {
	_, leaving := e.faults.leavingSince()
	return leaving
}
