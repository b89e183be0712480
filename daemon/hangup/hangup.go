// Package hangup notices that a caller has closed its connection while the
// daemon writes nothing to it. fasthttp's RequestCtx.Done does not fire then.
//
// It asks the kernel with poll(2) for POLLRDHUP, which is set when the peer
// closed or shut down its sending side, whether or not bytes are left to read;
// so it works beneath TLS, too, where a close arrives as unread bytes. A caller
// that shuts down only its sending side counts as gone: HTTP/1.1 clients that
// want an answer keep it open.
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

// DefaultInterval is how often the connections are looked at.
const DefaultInterval = 25 * time.Millisecond

// goneEvents are the poll results that mean the peer has closed.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL

// Watcher looks at all connections whose requests are being served.
type Watcher struct {
	mu    sync.Mutex
	conns map[*watchedConn]struct{}
	// wake has an item once there is something to look at again.
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

type watchedConn struct {
	raw    syscall.RawConn
	cancel context.CancelCauseFunc
}

// ErrGone is the cause of a context that a Watcher cancelled.
var ErrGone = goneError{}

type goneError struct{}

func (goneError) Error() string { return "the caller closed its connection" }

// New starts a Watcher that looks at its connections every interval.
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

// Close ends the watcher; contexts that it gave out stay as they are.
func (w *Watcher) Close() {
	close(w.stop)
	<-w.done
}

// Watch returns a context that ends with cause ErrGone when the peer of conn
// closes, and a function that ends the watch. A conn without a file descriptor
// is not watched.
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

// run looks every interval while there are connections, and sleeps otherwise.
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

// look polls every watched connection once and returns how many there were.
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
