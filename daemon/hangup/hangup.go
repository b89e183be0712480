// Package hangup detects that a caller has closed its connection while the daemon
// writes nothing to it. fasthttp's RequestCtx.Done does not fire in this case.
//
// It calls poll(2) for POLLRDHUP, which the kernel sets when the peer has closed
// the connection or shut down its sending side, even with bytes left to read. So
// it also works with TLS, where a close arrives as unread bytes. A caller that
// shuts down only its sending side counts as gone, since HTTP/1.1 clients that
// wait for an answer keep it open.
package hangup

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DefaultInterval is the time between polls of the connections.
const DefaultInterval = 25 * time.Millisecond

// closedEvents are the poll results that mean that the peer has closed.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL

// Watcher polls all connections whose requests are being served.
type Watcher struct {
	mu    sync.Mutex
	conns map[*watchedConn]struct{}
	// wake receives an item when a connection is added.
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

type watchedConn struct {
	raw    syscall.RawConn
	cancel context.CancelCauseFunc
}

// ErrGone is the cause with which a Watcher cancels a context.
var ErrGone = goneError{}

type goneError struct{}

func (goneError) Error() string { return "the caller closed its connection" }

// New starts a Watcher that polls its connections every interval.
func New(interval time.Duration) *Watcher {
	w := &Watcher{
		conns: make(map[*watchedConn]struct{}),
		wake:  make(chan struct{}, 1),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run(interval)
	return w
}

// Close stops the Watcher. It does not cancel the contexts that Watch returned.
func (w *Watcher) Close() {
	close(w.stop)
	<-w.done
}

// Watch returns a context that is cancelled with cause ErrGone when the peer of
// conn closes, and a function that ends the watch and cancels the context. A conn
// without a file descriptor is not watched.
func (w *Watcher) Watch(parent context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	raw := rawConn(conn)
	if raw == nil {
		return ctx, func() { cancel(context.Canceled) }
	}
	e := &watchedConn{raw: raw, cancel: cancel}
	w.mu.Lock()
	w.conns[e] = struct{}{}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return ctx, func() {
		w.mu.Lock()
		delete(w.conns, e)
		w.mu.Unlock()
		cancel(context.Canceled)
	}
}

func rawConn(conn net.Conn) syscall.RawConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// run polls every interval while there are connections, and otherwise waits for one.
func (w *Watcher) run(interval time.Duration) {
	defer close(w.done)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-w.wake:
		}
		for w.pollAll() > 0 {
			timer.Reset(interval)
			select {
			case <-w.stop:
				return
			case <-timer.C:
			}
		}
	}
}

// pollAll polls every watched connection once, cancels those that the peer closed,
// and returns how many it polled.
func (w *Watcher) pollAll() int {
	all := w.snapshot()
	for _, e := range all {
		if !peerClosed(e.raw) {
			continue
		}
		w.mu.Lock()
		delete(w.conns, e)
		w.mu.Unlock()
		e.cancel(ErrGone)
	}
	return len(all)
}

func (w *Watcher) snapshot() []*watchedConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]*watchedConn, 0, len(w.conns))
	for e := range w.conns {
		all = append(all, e)
	}
	return all
}

func peerClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&closedEvents != 0
	})
	return closed || err != nil
}
