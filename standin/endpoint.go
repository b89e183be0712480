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
	// DefaultLeaveGrace is how long a leaving endpoint still accepts new work.
	DefaultLeaveGrace = 3 * time.Second
	// DefaultSlots is how many requests or calls an endpoint runs concurrently.
	DefaultSlots = 4
	// DefaultLoadLag is the delay after which a load report shows a change.
	DefaultLoadLag = 100 * time.Millisecond
	// maxCountedKeys bounds the requests or idempotency keys whose runs an
	// endpoint counts.
	maxCountedKeys = 1 << 16
)

// process is one incarnation of an endpoint. It ends when the endpoint crashes
// or stops.
type process struct {
	incarnation uint64
	ctx         context.Context
	end         context.CancelFunc
}

// endpoint is the common part of engines and plain services: incarnations,
// crashes and leaving.
type endpoint struct {
	faults       *faults
	restartDelay time.Duration
	leaveGrace   time.Duration

	mu      sync.Mutex
	proc    process
	server  *Server
	crashes int64
}

// newEndpoint returns an endpoint in its first incarnation. The first incarnation
// number is the time in milliseconds since 1970, so that a stand-in process
// started later has a higher number.
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

// newProcess starts an incarnation.
func newProcess(incarnation uint64) process {
	ctx, end := context.WithCancel(context.Background())
	return process{incarnation: incarnation, ctx: ctx, end: end}
}

// start starts the endpoint's server at addr, host:port.
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

// stop ends the current incarnation without starting a new one.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proc.end()
}

// restart ends the incarnation, resets all connections, and listens again after
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

// process returns the current process.
func (e *endpoint) process() process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc
}

// Incarnation returns the number of the current incarnation.
func (e *endpoint) Incarnation() uint64 {
	return e.process().incarnation
}

func setIncarnationHeader(ctx *fasthttp.RequestCtx, incarnation uint64) {
	ctx.Response.Header.Set(wire.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
}

// leavingRefusal returns the refusal of new work once the leave grace of a
// leaving endpoint is over; nil before that.
func (e *endpoint) leavingRefusal() *failure {
	since, leaving := e.faults.leavingSince()
	if !leaving || time.Since(since) < e.leaveGrace {
		return nil
	}
	return refused(fasthttp.StatusServiceUnavailable, wire.ErrorLeaving, "endpoint is leaving")
}

// isLeaving reports whether the endpoint announces that it is leaving.
func (e *endpoint) isLeaving() bool {
	_, leaving := e.faults.leavingSince()
	return leaving
}
