// Package callerconn wraps the connections of callers: it ends those whose callers don't
// read their answers, and gives back what the daemon held for a request once its answer has
// been written.
package callerconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

const (
	// writeTick is how often a write that waits for its caller notes what was taken.
	writeTick = 250 * time.Millisecond
	// unreadFor is how long a caller may take nothing of its answer. It is longer than the
	// kernel lets a caller take nothing, and than a slow one takes to read what is on its
	// way.
	unreadFor = 6 * time.Second
	// unreadWhenShort replaces unreadFor while bytes are short.
	unreadWhenShort = time.Second
)

// ErrNotReading ends a write whose caller takes nothing.
var ErrNotReading = errors.New("the caller does not read its answer")

// Unread is a connection that was ended since its caller doesn't read.
type Unread struct {
	Caller net.Addr
	// For is how long the caller has taken nothing, Held how many bytes were held for it.
	For  time.Duration
	Held int64

	// ended is set if the connection had been ended before.
	ended bool
}

// Callers knows the connections whose callers have an answer to read. It is safe for
// concurrent use.
type Callers struct {
	now    func() time.Duration
	report func(Unread)

	mu      sync.Mutex
	writing map[*Conn]struct{}
}

// New returns a Callers without connections. report is called for each connection that is
// ended since its caller doesn't read; now returns the daemon's time.
func New(now func() time.Duration, report func(Unread)) *Callers {
	return &Callers{now: now, report: report, writing: map[*Conn]struct{}{}}
}

// Listen wraps the connections that a listener accepts.
func (s *Callers) Listen(ln net.Listener) net.Listener { return listener{ln, s} }

type listener struct {
	net.Listener
	callers *Callers
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, callers: l.callers}, nil
}

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	callers *Callers

	mu sync.Mutex
	// account holds what is held for the request that is served; nil between two requests.
	account *bytebudget.Account
	// tookAt is when the caller last took bytes of its answer, or the write began.
	tookAt time.Duration
	// ended is set once the connection was ended since its caller doesn't read.
	ended bool
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// Charge makes the account that of the request that is served.
func (c *Conn) Charge(a *bytebudget.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account = a
}

// Write implements net.Conn. It fails once the caller has taken nothing for unreadFor.
func (c *Conn) Write(b []byte) (int, error) {
	c.begin()
	defer c.end()
	for written := 0; ; {
		if err := c.SetWriteDeadline(time.Now().Add(writeTick)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if n > 0 {
			c.took()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if c.endIfUnread(unreadFor) {
			return written, ErrNotReading
		}
	}
}

func (c *Conn) begin() {
	c.took()
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.writing[c] = struct{}{}
}

func (c *Conn) end() {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	delete(c.callers.writing, c)
}

// took notes that the caller takes bytes.
func (c *Conn) took() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tookAt = c.callers.now()
}

// endIfUnread ends the connection if its caller has taken nothing for so long. It reports
// whether the connection has been ended, by this call or an earlier one.
func (c *Conn) endIfUnread(limit time.Duration) (ended bool) {
	unread, now := c.markUnread(limit)
	if now {
		c.reset()
		c.callers.report(unread)
	}
	return now || unread.ended
}

// reset closes the connection and drops what was not sent: the caller must not take what it
// has of the answer for all of it. Errors leave nothing to be done.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// markUnread marks the connection as ended if its caller has taken nothing for so long.
func (c *Conn) markUnread(limit time.Duration) (unread Unread, now bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread = Unread{Caller: c.RemoteAddr(), For: c.callers.now() - c.tookAt, Held: c.account.Held(), ended: c.ended}
	now = unread.For >= limit && !c.ended
	c.ended = c.ended || now
	return unread, now
}

// EndUnread ends the connections whose callers don't read, since bytes are short. It
// reports whether it has ended any.
func (s *Callers) EndUnread() bool {
	any := false
	for _, c := range s.snapshot() {
		any = c.endIfUnread(unreadWhenShort) || any
	}
	return any
}

func (s *Callers) snapshot() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Conn, 0, len(s.writing))
	for c := range s.writing {
		all = append(all, c)
	}
	return all
}

// State gives back what was held for a request once its connection is idle or closed; it is
// a fasthttp.Server's ConnState.
func State(c net.Conn, state fasthttp.ConnState) {
	caller, ok := c.(*Conn)
	if !ok || (state != fasthttp.StateIdle && state != fasthttp.StateClosed) {
		return
	}
	caller.mu.Lock()
	account := caller.account
	caller.account = nil
	caller.mu.Unlock()
	account.Close()
}
