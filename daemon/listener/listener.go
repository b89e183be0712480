// Package listener keeps a listener in service. What can't be accepted for want of
// descriptors or memory is accepted later, and the open connections are bounded, so that
// those of one listener leave descriptors for everything else.
package listener

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause before Accept is tried again. It doubles
	// with each failure.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// reportInterval is the least time between two reports of failures.
	reportInterval = time.Second
)

// Config configures a Listener.
type Config struct {
	// MaxConns bounds the open connections; 0 for no bound: they are then not counted.
	MaxConns int
	// Now returns the time since a fixed moment.
	Now func() time.Duration
	// Wait waits for a time. It returns false if the Listener was closed meanwhile. Default:
	// by the wall clock.
	Wait func(d time.Duration, closed <-chan struct{}) bool
	// Failed is called for each Accept that fails for a moment; report is set at most once
	// per reportInterval.
	Failed func(err error, report bool)
	// Recovered is called when Accept succeeds again after a reported failure; lasted is the
	// time since the first one.
	Recovered func(failures int, lasted time.Duration)
	// Refused is called for each connection that is closed since MaxConns are open and none
	// of them is idle, EndedIdle for each idle one that is closed for a new one. Both are
	// needed with MaxConns only.
	Refused, EndedIdle func()
}

// Listener is a net.Listener whose Accept fails only if the listener is lost or closed.
type Listener struct {
	net.Listener
	cfg       Config
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// open counts the open connections; idle holds those without a request, as *Conn, the
	// one that has been idle longest first.
	open int
	idle *list.List
	// pausing is set while Accept waits after a failure.
	pausing bool
	trouble trouble
}

// trouble is a time in which Accept fails.
type trouble struct {
	failures int
	since    time.Duration
	// reported is set once a failure was reported, reportedAt is when that was last.
	reported   bool
	reportedAt time.Duration
}

// New wraps a listener.
func New(ln net.Listener, cfg Config) *Listener {
	if cfg.Wait == nil {
		cfg.Wait = wait
	}
	return &Listener{Listener: ln, cfg: cfg, closed: make(chan struct{}), idle: list.New()}
}

// wait is the default of Config.Wait.
func wait(d time.Duration, closed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
		return false
	case <-timer.C:
		return true
	}
}

// Accept implements net.Listener. It returns net.ErrClosed after Close, and another error
// only if the listener is lost for good.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := minBackoff
	for {
		accepted, err := l.Listener.Accept()
		if err == nil {
			l.noteSuccess()
			backoff = minBackoff
			if c := l.admit(accepted); c != nil {
				return c, nil
			}
			continue
		}
		if !isTemporary(err) {
			return nil, err
		}
		l.noteFailure(err)
		if !l.pause(backoff) {
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accepting reports whether new connections are taken, and the reason if they are not.
func (l *Listener) Accepting() (ok bool, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.pausing:
		return false, "connections can't be accepted"
	case l.isFull() && l.idle.Len() == 0:
		return false, "as many connections are open as may be"
	default:
		return true, ""
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// isFull reports whether MaxConns are open. The caller holds the lock.
func (l *Listener) isFull() bool { return l.cfg.MaxConns > 0 && l.open >= l.cfg.MaxConns }

func (l *Listener) pause(d time.Duration) bool {
	l.setPausing(true)
	defer l.setPausing(false)
	return l.cfg.Wait(d, l.closed)
}

func (l *Listener) setPausing(pausing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausing = pausing
}

// noteFailure counts a failure and reports it unless one was reported a moment ago.
func (l *Listener) noteFailure(err error) {
	now := l.cfg.Now()
	l.mu.Lock()
	t := &l.trouble
	if t.failures == 0 {
		t.since = now
	}
	t.failures++
	report := t.reportedAt == 0 || now-t.reportedAt >= reportInterval
	if report {
		t.reported, t.reportedAt = true, now
	}
	l.mu.Unlock()
	l.cfg.Failed(err, report)
}

// noteSuccess ends a time of failures.
func (l *Listener) noteSuccess() {
	now := l.cfg.Now()
	l.mu.Lock()
	past := l.trouble
	l.trouble = trouble{reportedAt: past.reportedAt}
	l.mu.Unlock()
	if past.reported {
		l.cfg.Recovered(past.failures, now-past.since)
	}
}
