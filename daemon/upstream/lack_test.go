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

// reachable calls Reachable for long enough to repeat a dial.
func reachable(p *Pool, address string) (accepts, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*lackPause)
	defer cancel()
	return p.Reachable(ctx, address)
}

// TestADaemonWithoutDescriptorsTakesNoEndpointForCrashed guards against whole answers that are
// declared incomplete, and crashes that are recorded against requests, since this host can't open
// a socket; and against an endpoint that has crashed and is taken for alive for the same reason.
func TestADaemonWithoutDescriptorsTakesNoEndpointForCrashed(t *testing.T) {
	for _, helpers := range []bool{false, true} {
		for _, number := range lacks {
			is := is.New(t)
			p := newFailingPool(t, number, helpers)
			accepts, known := reachable(p, "127.0.0.1:1")
			is.True(!accepts)
			is.True(!known)
			failure := (&cutPool{Pool: p}).call("127.0.0.1:1")
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.NotRun)
		}
		is := is.New(t)
		accepts, known := reachable(newFailingPool(t, syscall.ECONNREFUSED, helpers), "127.0.0.1:1")
		is.True(!accepts)
		is.True(known)
	}
}

// TestADialIsRepeatedUntilADescriptorIsFree checks that a lack which passes leaves nothing
// unknown.
func TestADialIsRepeatedUntilADescriptorIsFree(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	dials := 0
	p := New(Options{Metrics: metrics.New("test"), Dial: func(ctx context.Context, address string, timeout time.Duration) (*netconn.Conn, error) {
		if dials++; dials < 3 {
			return nil, dialError(syscall.EMFILE)
		}
		return dialTCP(ctx, address, timeout)
	}})
	defer p.Close()
	accepts, known := p.Reachable(context.Background(), ln.Addr().String())
	is.True(accepts)
	is.True(known)
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
	accepts, known := p.Reachable(context.Background(), ln.Addr().String())
	is.True(accepts)
	is.True(known)
	is.Equal(p.CutPaths(), 0)
}
