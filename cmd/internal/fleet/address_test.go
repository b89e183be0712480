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

// The port of a killed daemon must not be assigned to another process. In 5 of 360
// runs beside 39 other fleets, callers that still used the killed daemon's address
// received status 400 or 404 without a code from a model engine of another fleet
// that had been assigned the port. The responses came from the killed daemon's
// address, such as 127.0.0.1:35661, and had the body "request has no id", which only
// the stand-in of a model engine sends.
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

// disableReuse clears SO_REUSEADDR, as for a socket that binds any free port.
func disableReuse(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	})
}
