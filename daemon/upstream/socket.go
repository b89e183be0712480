package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up: behind a cut nothing else tells.
	userTimeout = 2 * time.Second
	// probeIdle, probeEvery and probeCount find out within three seconds that
	// a connection on which only an answer is due has gone silent.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// dialer returns one whose connections notice a silent other side.
func newDialer(timeout time.Duration) netconn.Dialer {
	return netconn.Dialer{Dialer: net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw) },
	}}
}

// SetUserTimeout bounds how long bytes sent on a connection may stay
// unacknowledged.
func SetUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet says whether an unused connection has neither been closed nor got
// bytes that nobody asked for.
func isQuiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		still = err == unix.EAGAIN
	})
	return err == nil && still
}
