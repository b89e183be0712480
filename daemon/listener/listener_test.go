package listener

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is a listener whose Accept returns what it is told, and then that it is closed.
type script struct {
	net.Listener
	results []any
}

func (s *script) Accept() (net.Conn, error) {
	if len(s.results) == 0 {
		return nil, net.ErrClosed
	}
	next := s.results[0]
	s.results = s.results[1:]
	if err, ok := next.(error); ok {
		return nil, err
	}
	return next.(net.Conn), nil
}

func (s *script) Close() error { return nil }

// acceptError is an error as net.TCPListener returns it.
func acceptError(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: &net.OpError{Op: "accept4", Err: number}}
}

// fakeConn is a connection that notes its end.
type fakeConn struct {
	net.Conn
	closed int
}

func (c *fakeConn) Close() error {
	c.closed++
	return nil
}

// recorder has what a Listener told, and its clock, which the pauses advance.
type recorder struct {
	now                time.Duration
	pauses             []time.Duration
	failed, reported   int
	recovered          int
	refused, endedIdle int
	// during is called in each pause.
	during func()
}

func (r *recorder) config(maxConns int) Config {
	return Config{
		MaxConns: maxConns,
		Now:      func() time.Duration { return r.now },
		Wait: func(d time.Duration, _ <-chan struct{}) bool {
			r.pauses = append(r.pauses, d)
			r.now += d
			if r.during != nil {
				r.during()
			}
			return true
		},
		Failed: func(_ error, report bool) {
			r.failed++
			if report {
				r.reported++
			}
		},
		Recovered: func(failures int, _ time.Duration) { r.recovered = failures },
		Refused:   func() { r.refused++ },
		EndedIdle: func() { r.endedIdle++ },
	}
}

func newRecorder() *recorder { return &recorder{now: time.Hour} }

// TestAListenerGoesOnAfterEachErrorThatPasses guards against a listener that nobody serves after
// one error of accept.
func TestAListenerGoesOnAfterEachErrorThatPasses(t *testing.T) {
	for _, number := range temporary {
		t.Run(number.Error(), func(t *testing.T) {
			is := is.New(t)
			r, c := newRecorder(), &fakeConn{}
			l := New(&script{results: []any{acceptError(number), acceptError(number), c}}, r.config(0))
			accepted, err := l.Accept()
			is.NoErr(err)
			is.Equal(accepted, c)
			is.Equal(r.pauses, []time.Duration{minBackoff, 2 * minBackoff})
			is.Equal(r.failed, 2)
			is.Equal(r.recovered, 2)
		})
	}
}

// TestThePauseOfAListenerIsBounded checks that a listener neither spins nor waits for long while
// there are no descriptors, and says so at a bounded rate.
func TestThePauseOfAListenerIsBounded(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	failures := make([]any, 40)
	for i := range failures {
		failures[i] = acceptError(syscall.EMFILE)
	}
	l := New(&script{results: append(failures, &fakeConn{})}, r.config(0))
	_, err := l.Accept()
	is.NoErr(err)
	is.Equal(len(r.pauses), len(failures))
	var total time.Duration
	for _, p := range r.pauses {
		is.True(p <= maxBackoff)
		total += p
	}
	is.Equal(r.pauses[len(r.pauses)-1], maxBackoff)
	is.True(r.reported <= 1+int(total/reportInterval))
	is.Equal(r.recovered, len(failures))
}

// TestALostListenerIsTold checks that an error which does not pass ends Accept.
func TestALostListenerIsTold(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	l := New(&script{results: []any{acceptError(syscall.EBADF)}}, r.config(0))
	_, err := l.Accept()
	is.True(errors.Is(err, syscall.EBADF))
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
	is.Equal(len(r.pauses), 0)
}

// TestAListenerThatPausesDoesNotAccept checks what readiness is told meanwhile.
func TestAListenerThatPausesDoesNotAccept(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	l := New(&script{results: []any{acceptError(syscall.EMFILE), &fakeConn{}}}, r.config(0))
	accepting := true
	r.during = func() { accepting, _ = l.Accepting() }
	_, err := l.Accept()
	is.NoErr(err)
	is.True(!accepting)
	accepting, _ = l.Accepting()
	is.True(accepting)
}

// TestACloseEndsThePause guards against a daemon that can't stop while it has no descriptors.
func TestACloseEndsThePause(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	cfg := r.config(0)
	cfg.Wait = nil
	l := New(&script{results: []any{acceptError(syscall.EMFILE)}}, cfg)
	is.NoErr(l.Close())
	_, err := l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}
