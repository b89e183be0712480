package fleet

import (
	"fmt"
	"syscall"

	"github.com/rotisserie/eris"
)

// address is a TCP address of the loopback interface that a member keeps whether or
// not its daemon runs, as a host keeps its own address. It is a bound socket that
// does not listen: while no daemon runs, connections are refused and the port is not
// assigned to anyone else. Without it, callers of a killed daemon may be answered by
// an engine of another fleet that was assigned the port.
type address struct {
	fd   int
	port int
}

// loopback is the IP address of the loopback interface.
var loopback = [4]byte{127, 0, 0, 1}

// reserveAddress reserves a free port of the loopback interface.
func reserveAddress() (*address, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "reserve an address: socket")
	}
	a := &address{fd: fd}
	if err := a.bind(); err != nil {
		a.release()
		return nil, err
	}
	return a, nil
}

func (a *address) bind() error {
	// The daemon binds the same address and listens on it.
	if err := syscall.SetsockoptInt(a.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return eris.Wrap(err, "reserve an address: SO_REUSEADDR")
	}
	if err := syscall.Bind(a.fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return eris.Wrap(err, "reserve an address: bind")
	}
	bound, err := syscall.Getsockname(a.fd)
	if err != nil {
		return eris.Wrap(err, "reserve an address: getsockname")
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return eris.Errorf("reserve an address: bound to %T", bound)
	}
	a.port = inet.Port
	return nil
}

// String returns the address as host:port.
func (a *address) String() string { return fmt.Sprintf("127.0.0.1:%d", a.port) }

// release frees the port. An error of Close is ignored, since the socket holds no
// data.
func (a *address) release() { _ = syscall.Close(a.fd) }
