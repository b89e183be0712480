package fleet

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/standin"
)

// TestAKilledDaemonsAddressIsNobodyElses: in 5 of 360 runs of the test beside
// 39 other fleets, callers who still knew the address of the killed daemon were
// answered 400 or 404, without a code, by a server of another fleet. What showed
// it is the account of the error answers: they came from the address of the
// killed daemon, and their body is one that only a model engine's stand-in writes.
//
//	ended="status=400 code= verdict= daemon=127.0.0.1:35661 body={\"code\":\"bad_request\",\"message\":\"request has no id\"}"
//	daemon=aktau-port-1 event=daemon_started callers=127.0.0.1:35661
func TestAddressOfKilledDaemonStaysReserved(t *testing.T) {
	is := is.New(t)
	f, err := Start(context.Background(), Config{Sites: []standin.PlatformConfig{standin.Bunker()}})
	is.NoErr(err)
	at := f.CallerAddresses()[0]
	f.Kill(0)

	_, err = net.Dial("tcp", at)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	_, err = (&net.ListenConfig{Control: disableReuse}).Listen(context.Background(), "tcp", at)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	f.Close()
	ln, err := net.Listen("tcp", at)
	is.NoErr(err)
	is.NoErr(ln.Close())
}

// withoutReuse binds as one does who asks for any free port.
func disableReuse(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	})
}
