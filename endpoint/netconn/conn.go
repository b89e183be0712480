// Package netconn provides connections on which data that has already been received
// takes precedence over an expired deadline. When a process has been stopped or
// starved of processor time, its timers fire as soon as it resumes and would end an
// exchange whose answer is already in the socket buffer.
package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// maxLateBytes bounds the bytes that are read after a deadline, so that an endpoint
// which sends without end can't keep a request running past its deadline.
const maxLateBytes = 1 << 20

// Conn is a TCP connection whose reads return received data even after the deadline
// has passed. All methods not defined here are those of the wrapped connection.
type Conn struct {
	net.Conn

	// writing is set while a part of a request is written.
	writing atomic.Bool

	// writes is held while bytes are written. broken is the error of the connection that a
	// write, or a read behind a deadline, was told.
	writes sync.Mutex
	broken error

	mu      sync.Mutex
	expired bool
	// lateBytes is the number of bytes that were read after the current deadline.
	lateBytes int
}

// New wraps a connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. After the deadline it returns data that has been
// received, up to maxLateBytes per deadline, and then the deadline error.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAvailable(b, err)
	}
	if err == io.EOF {
		err = c.endOrBreak()
	}
	return n, err
}

// readAvailable reads once without blocking. It returns none if there was nothing to read, and
// io.EOF at the end of the connection.
func (c *Conn) readAvailable(b []byte, none error) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil || len(b) == 0 {
		return 0, none
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The read below fails as well while an expired deadline is set.
	if c.lateBytes == maxLateBytes || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0, none
	}
	defer func() { _ = c.Conn.SetReadDeadline(pastDeadline) }()
	b = b[:min(len(b), maxLateBytes-c.lateBytes)]
	var n int
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		n, failed = syscall.Read(int(fd), b)
		return true
	})
	switch {
	case err != nil, failed == syscall.EAGAIN, failed == syscall.EINTR:
		return 0, none
	case failed != nil:
		c.recordBreak(failed)
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	c.lateBytes += n
	return n, nil
}

// Expire expires the deadline of all pending and future reads and writes. Reads
// return received data and then the deadline error.
func (c *Conn) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	_ = c.Conn.SetDeadline(pastDeadline) // fails on a closed connection only
}

// BindContext closes the connection when ctx is cancelled, and calls Expire when the
// deadline of ctx passes. stop works as that of context.AfterFunc.
func (c *Conn) BindContext(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.Expire()
			return
		}
		_ = c.Close()
	})
}

// SetReadDeadline implements net.Conn. It has no effect after Expire.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	c.lateBytes = 0
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. It has no effect after Expire.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	c.lateBytes = 0
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn. A connection on which a part of a request was written is reset:
// the part must not be taken for a request that ended with its connection.
func (c *Conn) Close() error {
	if c.writing.Load() {
		return c.Reset()
	}
	return c.Conn.Close()
}

// Reset closes the connection so that its peer sees it broken off and not ended, where the
// wrapped connection can do so. What was not sent yet is dropped.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}
