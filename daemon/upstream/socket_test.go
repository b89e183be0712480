package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestConnectionsDetectUnresponsivePeer checks the socket options: in a network
// partition no reset arrives, so only the kernel's timeouts end a connection.
func TestConnectionsDetectUnresponsivePeer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	d := newDialer(time.Second)
	conn, err := d.DialContext(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.Equal(sockoptInt(t, raw, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	is.Equal(sockoptInt(t, raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(userTimeout/time.Millisecond))
	is.Equal(sockoptInt(t, raw, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), int(probeIdle/time.Second))
	is.Equal(sockoptInt(t, raw, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), int(probeInterval/time.Second))
	is.Equal(sockoptInt(t, raw, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), probeCount)
}

func sockoptInt(t *testing.T, raw syscall.RawConn, level, name int) int {
	t.Helper()
	value, failed := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), level, name) }); err != nil {
		t.Fatal(err)
	}
	if failed != nil {
		t.Fatal(failed)
	}
	return value
}
