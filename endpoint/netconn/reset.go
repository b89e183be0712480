package netconn

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// The kernel tells the error of a connection once, to whoever asks first. If a writer is told
// that the peer has reset it, a reader beside it sees what looks like the regular end; if a read
// was told, the next one does.

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.Conn.Write(b)
	if cause := brokenBy(err); cause != nil {
		c.broken = cause
	}
	return n, err
}

// brokenBy returns the error of the connection that a failed write was told; nil for none. EPIPE
// is none: the peer had ended its direction before, or the reader was told.
func brokenBy(err error) error {
	var cause syscall.Errno
	if !errors.As(err, &cause) || cause == syscall.EPIPE {
		return nil
	}
	return cause
}

// endOrBreak returns the error for a reader that sees the end of the connection: io.EOF only if
// the peer has ended it.
func (c *Conn) endOrBreak() error {
	if !c.mayBeBroken() {
		return io.EOF
	}
	// A write in progress returns at once, since the connection is closed.
	c.writes.Lock()
	defer c.writes.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// recordBreak keeps the error of the connection that a read was told. A write in progress returns
// at once.
func (c *Conn) recordBreak(cause error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	c.broken = cause
}

// mayBeBroken reports whether both directions of the connection are closed, as after a reset, or
// by a writer that was told of it. A connection that only the peer has ended is still open for
// writes.
func (c *Conn) mayBeBroken() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}
