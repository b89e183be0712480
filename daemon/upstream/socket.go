package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. In a network partition nothing else reports the
	// failure. It also decides when unanswered keepalive probes give up, whatever
	// probeCount says: once nothing has arrived for so long, the silence before the
	// first probe included.
	userTimeout = 4 * time.Second
	// probeIdle, probeInterval and probeCount are the TCP keepalive settings. They
	// detect within userTimeout that the peer of a connection that only waits for an
	// answer has become unreachable. The first and the last probe are two seconds
	// apart, more than the time for which a sound endpoint may be silent: one of them
	// is answered.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// newDialer returns a dialer whose connections detect an unresponsive peer.
func newDialer(timeout time.Duration) netconn.Dialer {
	return netconn.Dialer{Dialer: net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, userTimeout) },
	}}
}

// dialTCP opens a TCP connection that detects an unresponsive peer.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (*netconn.Conn, error) {
	d := newDialer(timeout)
	return d.Dial(ctx, address)
}

// SetUserTimeout bounds how long bytes sent on a connection may stay
// unacknowledged, and how long nothing may arrive while keepalive probes are sent.
func SetUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// isQuiet reports whether an idle connection has neither been closed by its peer
// nor received unexpected bytes.
func isQuiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
