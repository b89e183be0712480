// Package netconn opens connections whose time limits give way to what arrived
// while this process was held up. A process that gets no processor, or is
// stopped, finds its timers due when it goes on; without care they end an
// exchange whose answer lies ready.
package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// longAgo is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// maxLateBytes are read behind one deadline at the most, so that an endpoint
// which never stops sending can't hold a request past its time.
const maxLateBytes = 1 << 20

// Conn is a TCP connection whose reads prefer bytes that have arrived to a
// deadline that has passed. The net.Conn methods are those of its connection.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	expired bool
	// late is how many bytes were read behind the present deadline.
	lateBytes int
}

// New wraps a connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. Behind the deadline it reads what has arrived, and
// gives the deadline's error once nothing has.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, ready := c.readAvailable(b); ready {
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	return 0, err
}

// arrived reads once without waiting. ready is false if nothing was there; with
// ready, an n of 0 is the connection's end.
func (c *Conn) readAvailable(b []byte) (n int, ready bool) {
	raw, err := c.SyscallConn()
	if err != nil || len(b) == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A deadline that has passed forbids the read below, too.
	if c.lateBytes == maxLateBytes || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0, false
	}
	defer func() { _ = c.Conn.SetReadDeadline(pastDeadline) }()
	b = b[:min(len(b), maxLateBytes-c.lateBytes)]
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		n, failed = syscall.Read(int(fd), b)
		return true
	})
	if err != nil || failed != nil {
		return 0, false
	}
	c.lateBytes += n
	return n, true
}

// Expire ends the time of all reads, those under way and those to come: they
// give what has arrived and then the deadline's error.
func (c *Conn) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	_ = c.Conn.SetDeadline(pastDeadline) // fails on a closed connection only
}

// EndWith ends the connection with ctx: at once where its caller left, by Expire
// where its deadline passed. stop undoes it as context.AfterFunc's does.
func (c *Conn) EndWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.Expire()
			return
		}
		_ = c.Close()
	})
}

// SetReadDeadline implements net.Conn. It changes nothing behind Expire.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	c.lateBytes = 0
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. It changes nothing behind Expire.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	c.lateBytes = 0
	return c.Conn.SetDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}
