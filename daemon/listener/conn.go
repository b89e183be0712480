package listener

import (
	"container/list"
	"errors"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener

	// The lock of the listener guards the rest.

	// place is the connection's place among the idle ones; nil while it has a request.
	place *list.Element
	// ended is set once the connection was closed for a new one, released once it no longer
	// counts as open.
	ended, released bool
}

// admit counts a new connection. If as many are open as may be, it closes the one that has
// been idle longest; if none is idle, it closes the new one and returns nil. Without a bound
// it returns the connection as it is.
func (l *Listener) admit(accepted net.Conn) net.Conn {
	if l.cfg.MaxConns == 0 {
		return accepted
	}
	c := &Conn{Conn: accepted, listener: l}
	l.mu.Lock()
	var longest *Conn
	if l.isFull() {
		longest = l.longestIdle()
	}
	refused := l.isFull() && longest == nil
	if !refused {
		l.open++
		c.place = l.idle.PushBack(c)
	}
	l.mu.Unlock()
	if refused {
		l.cfg.Refused()
		_ = accepted.Close() // nothing was read: the caller may send its request elsewhere
		return nil
	}
	if longest != nil {
		l.cfg.EndedIdle()
		_ = longest.Close() // an error leaves nothing to be done
	}
	return c
}

// longestIdle takes the connection that has been idle longest; nil if none is. The caller
// holds the lock.
func (l *Listener) longestIdle() *Conn {
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*Conn) //nolint:forcetypeassert // the list holds nothing else
	c.ended = true
	c.leaveIdle()
	return c
}

// leaveIdle removes the connection from the idle ones. The caller holds the lock.
func (c *Conn) leaveIdle() {
	if c.place != nil {
		c.listener.idle.Remove(c.place)
		c.place = nil
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close()
}

func (c *Conn) release() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.leaveIdle()
	if !c.released {
		c.released = true
		c.listener.open--
	}
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// State notes whether a connection has a request; it is a fasthttp.Server's ConnState.
func State(conn net.Conn, state fasthttp.ConnState) {
	c := of(conn)
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case state == fasthttp.StateActive:
		c.leaveIdle()
	case state == fasthttp.StateIdle && c.place == nil && !c.ended && !c.released:
		c.place = c.listener.idle.PushBack(c)
	}
}

// Ended reports whether a connection was closed for a new one. A request that arrived on it
// at that moment must not be run, since its caller gets no answer.
func Ended(conn net.Conn) bool {
	c := of(conn)
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.ended
}

// of returns the Conn that a connection is or wraps; nil if there is none.
func of(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
