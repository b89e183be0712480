package standin

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes    = 32 << 20
	readBufferBytes = 16 << 10
	idleTimeout     = time.Minute
	reopenRetry     = 10 * time.Millisecond
	// DefaultRestartDelay is how long a crashed endpoint does not listen.
	DefaultRestartDelay = 300 * time.Millisecond
)

// Server is the HTTP server of one stand-in. It can be aborted and reopened at
// the same address.
type Server struct {
	handler fasthttp.RequestHandler
	address string

	mu       sync.Mutex
	listener *trackingListener
	conns    map[*trackedConn]struct{}
	closed   bool
	// aborts counts the aborts, so that a reopen after an earlier abort is
	// ignored.
	aborts  int
	onClose []func()
	serving sync.WaitGroup
}

// startServer listens at addr, host:port; port 0 takes a free port.
func startServer(addr string, handler fasthttp.RequestHandler) (*Server, error) {
	s := &Server{handler: handler, address: addr, conns: map[*trackedConn]struct{}{}}
	if err := s.listen(0); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	return s, nil
}

// listen opens the listener and serves it, unless the server was closed or
// aborted again since abort number aborts.
func (s *Server) listen(aborts int) error {
	if s.outdated(aborts) {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrapf(err, "stand-in can't listen at %s", s.address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.aborts != aborts {
		_ = listener.Close()
		return nil
	}
	tracking := &trackingListener{Listener: listener, server: s}
	s.listener = tracking
	server := &fasthttp.Server{
		Handler:               s.handler,
		Logger:                silentLogger{},
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        readBufferBytes,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
	}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = server.Serve(tracking)
	}()
	return nil
}

// outdated reports whether a reopen after abort number aborts is no longer due.
func (s *Server) outdated(aborts int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.aborts != aborts
}

// Addr returns the address, host:port, with the actual port.
func (s *Server) Addr() string { return s.address }

// Close stops the stand-in: it closes the listener, resets all connections and
// waits for the server to end.
func (s *Server) Close() {
	s.mu.Lock()
	hooks := s.onClose
	s.onClose = nil
	s.closed = true
	s.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
	s.abort()
	s.serving.Wait()
}

// abort closes the listener and resets all connections. It returns the number of
// the abort for reopen.
func (s *Server) abort() int {
	s.mu.Lock()
	s.aborts++
	aborts := s.aborts
	listener := s.listener
	if listener != nil {
		listener.aborted = true
	}
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	s.ResetConnections()
	return aborts
}

// ResetConnections resets the open connections, as in a network failure; the
// stand-in continues its work.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	conns := make([]*trackedConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// reopen listens again at the same address after an abort; it retries until it
// succeeds or the server is closed or aborted again.
func (s *Server) reopen(aborts int) {
	if s.listen(aborts) == nil {
		return
	}
	time.AfterFunc(reopenRetry, func() { s.reopen(aborts) })
}

// trackingListener registers each connection with the server, so that all can be
// reset.
type trackingListener struct {
	net.Listener
	server *Server
	// aborted is set once the server was aborted; guarded by the server's mutex.
	aborted bool
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, server: l.server}
	if !l.track(tracked) {
		tracked.reset()
		return nil, net.ErrClosed
	}
	return tracked, nil
}

// track registers a connection; false if the server was aborted meanwhile.
func (l *trackingListener) track(c *trackedConn) bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.aborted {
		return false
	}
	l.server.conns[c] = struct{}{}
	return true
}

// trackedConn is a connection that the server can reset.
type trackedConn struct {
	net.Conn
	server *Server
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as if the process had crashed.
func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// resetConnection resets the connection of a call, so that its reply is lost.
func resetConnection(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*trackedConn); ok {
		c.reset()
	}
}

// silentLogger discards fasthttp's log lines about broken connections.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}
