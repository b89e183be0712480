package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

// dialError returns the error of a dial that ended with a system call's error.
func dialError(number syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", number)}
}

// newFailingPool returns a pool whose dials fail, and that finds no helper or one that lacks the
// same.
func newFailingPool(t *testing.T, number syscall.Errno, helpers bool) *Pool {
	t.Helper()
	p := New(Options{Metrics: metrics.New("test"), Dial: func(context.Context, string, time.Duration) (*netconn.Conn, error) {
		return nil, dialError(number)
	}})
	if helpers {
		p.UseTunnels(Tunnels{
			Open:   func(context.Context, string) (net.Conn, error) { return nil, errCut },
			Report: func(PathChange) {},
			Now:    func() time.Duration { return time.Hour },
		})
	}
	t.Cleanup(p.Close)
	return p
}

// TestADaemonWithoutDescriptorsTakesNoEndpointForCrashed guards against whole answers that are
// declared incomplete, and crashes that are recorded against requests, since this host can't open
// a socket.
func TestADaemonWithoutDescriptorsTakesNoEndpointForCrashed(t *testing.T) {
	for _, helpers := range []bool{false, true} {
		for _, number := range lacks {
			is := is.New(t)
			p := newFailingPool(t, number, helpers)
			is.True(p.Reachable(context.Background(), "127.0.0.1:1"))
			failure := (&cutPool{Pool: p}).call("127.0.0.1:1")
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.NotRun)
		}
		is := is.New(t)
		p := newFailingPool(t, syscall.ECONNREFUSED, helpers)
		is.True(!p.Reachable(context.Background(), "127.0.0.1:1"))
	}
}

// TestALackOfDescriptorsCutsNoPath guards against a path that counts as cut, and whose idle
// connections are closed, since this host could not open one more.
func TestALackOfDescriptorsCutsNoPath(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	p := New(Options{Metrics: metrics.New("test"), Dial: func(context.Context, string, time.Duration) (*netconn.Conn, error) {
		return nil, dialError(syscall.EMFILE)
	}})
	defer p.Close()
	p.UseTunnels(Tunnels{
		Open:   func(_ context.Context, address string) (net.Conn, error) { return net.Dial("tcp", address) },
		Report: func(PathChange) { t.Error("a path was cut") },
		Now:    func() time.Duration { return time.Hour },
	})
	is.True(p.Reachable(context.Background(), ln.Addr().String()))
	is.Equal(p.CutPaths(), 0)
}
