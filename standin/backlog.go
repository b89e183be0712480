package standin

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// smallestBacklog leaves room for one connection that nobody accepts.
	minBacklog = 0
	// fillTimeout bounds the attempt to connect that finds the backlog full.
	fillDialTimeout = 100 * time.Millisecond
	// maxFill bounds the connections that fill the backlog.
	maxFillConns = 8
)

// FullBacklog is an address that answers no attempt to connect, as a host that
// is without power or cut off. Attempts hang until they time out.
type FullBacklog struct {
	listener net.Listener
	conns    []net.Conn
}

// NewFullBacklog listens at addr, host:port; port 0 takes a free one.
func NewFullBacklog(addr string) (*FullBacklog, error) {
	listener, err := listenMinBacklog(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen with a small backlog at %s", addr)
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
	return nil, eris.Errorf("the backlog at %s takes more than %d connections", addr, maxFillConns)
}

// Addr is the address, host:port.
func (b *FullBacklog) Addr() string { return b.listener.Addr().String() }

// Close ends it; attempts to connect are refused from then on.
func (b *FullBacklog) Close() {
	_ = b.listener.Close()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
}

// listenSmall listens with the smallest backlog, which package net can't set.
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
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
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

// FillBacklog makes the stand-in answer no further attempt to connect until it
// is closed; connections that are open go on.
func (s *Server) FillBacklog() error {
	s.mu.Lock()
	s.aborts++ // nobody reopens it
	listener := s.listener
	s.mu.Unlock()
	if err := listener.Close(); err != nil {
		return eris.Wrapf(err, "stand-in at %s", s.address)
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

// FillBacklog makes the endpoint answer no further attempt to connect until it
// is closed; connections that are open go on.
func (e *endpoint) FillBacklog() error { return e.server.FillBacklog() }

// ResetConnections resets the connections that are open now, as a network does
// that breaks; the endpoint goes on with its work.
func (e *endpoint) ResetConnections() { e.server.ResetConnections() }
