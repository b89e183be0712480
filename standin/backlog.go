package standin

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minBacklog leaves room for one connection that is not accepted.
	minBacklog = 0
	// fillDialTimeout bounds each dial that fills the backlog; a dial that times
	// out shows that the backlog is full.
	fillDialTimeout = 100 * time.Millisecond
	// maxFillConns bounds the connections that fill the backlog.
	maxFillConns = 8
)

// FullBacklog is a listener with a full backlog. Attempts to connect to its
// address hang until they time out, as with a host that has lost power or its
// network.
type FullBacklog struct {
	listener net.Listener
	conns    []net.Conn
}

// NewFullBacklog listens at addr, host:port, and fills the backlog; port 0 takes
// a free port.
func NewFullBacklog(addr string) (*FullBacklog, error) {
	listener, err := listenMinBacklog(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen with the minimum backlog at %s", addr)
	}
	b := &FullBacklog{listener: listener}
	for range maxFillConns {
		conn, err := net.DialTimeout("tcp", b.Addr(), fillDialTimeout)
		if err != nil {
			return b, nil
		}
		b.conns = append(b.conns, conn)
	}
	b.Close()
	return nil, eris.Errorf("the backlog at %s is not full after %d connections", addr, maxFillConns)
}

// Addr returns the address, host:port.
func (b *FullBacklog) Addr() string { return b.listener.Addr().String() }

// Close closes the listener and the connections in its backlog; later attempts to
// connect are refused.
func (b *FullBacklog) Close() {
	_ = b.listener.Close()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
}

// listenMinBacklog listens at a TCP over IPv4 address with the minimum backlog,
// which package net can't set.
func listenMinBacklog(addr string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // net.FileListener duplicates the descriptor
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	socket := &syscall.SockaddrInet4{Port: resolved.Port}
	copy(socket.Addr[:], resolved.IP.To4())
	if err := syscall.Bind(fd, socket); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, minBacklog); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// FillBacklog makes attempts to connect to the stand-in hang until it is closed.
// Open connections keep working.
func (s *Server) FillBacklog() error {
	s.mu.Lock()
	s.aborts++ // makes a pending reopen outdated
	listener := s.listener
	s.mu.Unlock()
	if err := listener.Close(); err != nil {
		return eris.Wrapf(err, "can't close the listener of the stand-in at %s", s.address)
	}
	full, err := NewFullBacklog(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.onClose = append(s.onClose, full.Close)
	s.mu.Unlock()
	return nil
}

// FillBacklog makes attempts to connect to the endpoint hang until it is closed.
// Open connections keep working.
func (e *endpoint) FillBacklog() error { return e.server.FillBacklog() }

// ResetConnections resets the open connections, as in a network failure; the
// endpoint continues its work.
func (e *endpoint) ResetConnections() { e.server.ResetConnections() }
