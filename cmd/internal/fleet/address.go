package fleet

import (
	"fmt"
	"syscall"

	"github.com/rotisserie/eris"
)

// address is a TCP address of the loopback interface that a place keeps whether
// or not its daemon runs, as a host keeps its own: a bound socket on which
// nothing listens, so that a connection to it is refused while there is no
// daemon, and nobody else is given the port. Without it, callers of a killed daemon may be
// answered by another fleet's engine that has got its port.
type address struct {
	fd   int
	port int
}

// loopback is the address's IP.
var loopback = [4]byte{127, 0, 0, 1}

// takeAddress takes a free port of the loopback interface.
func reserveAddress() (*address, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "take an address: socket")
	}
	a := &address{fd: fd}
	if err := a.bind(); err != nil {
		a.release()
		return nil, err
	}
	return a, nil
}

func (a *address) bind() error {
	// The daemon binds the same address, and listens there.
	if err := syscall.SetsockoptInt(a.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return eris.Wrap(err, "take an address: SO_REUSEADDR")
	}
	if err := syscall.Bind(a.fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return eris.Wrap(err, "take an address: bind")
	}
	bound, err := syscall.Getsockname(a.fd)
	if err != nil {
		return eris.Wrap(err, "take an address: getsockname")
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return eris.Errorf("take an address: bound to %T", bound)
	}
	a.port = inet.Port
	return nil
}

// String is the address as host:port.
func (a *address) String() string { return fmt.Sprintf("127.0.0.1:%d", a.port) }

// release gives the address back. The socket holds no data, so that an error of
// its closing loses nothing.
func (a *address) release() { _ = syscall.Close(a.fd) }
