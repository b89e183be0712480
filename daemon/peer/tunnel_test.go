package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

// tunnelThrough returns a transport whose tunnels lead over another one to connections
// that serve handles.
func tunnelThrough(t *testing.T, change func(*Config), serve func(*net.TCPConn)) *Transport {
	t.Helper()
	a, _ := tunnelAndCarrier(t, change, serve)
	return a
}

// tunnelAndCarrier is tunnelThrough; it also returns the other transport.
func tunnelAndCarrier(t *testing.T, change func(*Config), serve func(*net.TCPConn)) (a, b *Transport) {
	t.Helper()
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			serve(c.(*net.TCPConn))
		}
	}()
	f := newFleet(t)
	a, _ = f.listen("a", nil)
	b, _ = f.listen("b", func(c *Config) {
		c.OpenTarget = func(_ context.Context, from id.Daemon, name string) (net.Conn, error) {
			if from != "a" || name != "target" {
				return nil, errors.New("unknown target")
			}
			c, err := net.Dial("tcp", target.Addr().String())
			if err != nil {
				return nil, err
			}
			return netconn.New(c), nil // as daemons open it
		}
		if change != nil {
			change(c)
		}
	})
	is.NoErr(a.SetPeer("b", b.Address()))
	return a, b
}

// TestATunnelCarriesBothDirectionsToTheRegularEnd checks that all bytes arrive and that
// the target's end of the connection is seen as the end.
func TestATunnelCarriesBothDirectionsToTheRegularEnd(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	a := tunnelThrough(t, nil, func(c *net.TCPConn) {
		request := make([]byte, 5)
		_, _ = io.ReadFull(c, request)
		_, _ = c.Write(append(request, make([]byte, size)...))
		_ = c.Close()
	})
	c, err := a.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("hello"))
	is.NoErr(err)
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(len(all), 5+size)
	is.Equal(string(all[:5]), "hello")
}

// TestAResetTargetIsNoRegularEnd guards against an answer that was broken off looking
// complete because a tunnel turned the reset into an end.
func TestAResetTargetIsNoRegularEnd(t *testing.T) {
	is := is.New(t)
	a := tunnelThrough(t, nil, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	c, err := a.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(err != nil)
}

// TestAClosedTunnelClosesTheTarget guards against an endpoint working on for a caller
// that has gone.
func TestAClosedTunnelClosesTheTarget(t *testing.T) {
	is := is.New(t)
	gone := make(chan error, 1)
	a := tunnelThrough(t, nil, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_, err := c.Read(make([]byte, 1))
		gone <- err
		_ = c.Close()
	})
	c, err := a.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(c.Close())
	is.True(<-gone != nil)
}

// TestATunnelLastsUntilItsUserHasReadTheEnd guards against an answer that is cut since the
// daemon that carries it believes the tunnel ended while its last bytes are still unread.
func TestATunnelLastsUntilItsUserHasReadTheEnd(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	a, carrier := tunnelAndCarrier(t, nil, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("answer"))
		_ = c.CloseWrite()
		rest, _ := io.ReadAll(c)
		got <- string(rest)
		_ = c.Close()
	})
	c, err := a.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(answer), "answer")
	is.Equal(carrier.CarriedTunnels(), 1)
	_, err = c.Write([]byte("read"))
	is.NoErr(err)
	is.NoErr(c.(*tunnel).Stream.Close())
	is.Equal(<-got, "read")
}

// TestTunnelsAreRefusedAtOnce checks that a target that the peer does not reach, a peer
// that carries none, and one that carries as many as it may, fail without a wait.
func TestTunnelsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	hold := func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) }
	a := tunnelThrough(t, nil, hold)
	_, err := a.OpenTunnel(testContext(t), "b", "another")
	is.True(errors.Is(err, ErrTunnelFailed))

	one := tunnelThrough(t, func(c *Config) { c.MaxTunnels = 1 }, hold)
	first, err := one.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	defer first.Close()
	_, err = one.OpenTunnel(testContext(t), "b", "target")
	is.True(err != nil)

	none := tunnelThrough(t, func(c *Config) { c.OpenTarget = nil }, hold)
	_, err = none.OpenTunnel(testContext(t), "b", "target")
	is.True(err != nil)
}

// TestATunnelOutlivesASilenceOfItsTarget guards against an answer that is cut since its
// endpoint was silent for longer than an unused connection between daemons is kept.
func TestATunnelOutlivesASilenceOfItsTarget(t *testing.T) {
	is := is.New(t)
	const idle = 500 * time.Millisecond
	speak := make(chan struct{})
	a := tunnelThrough(t, func(c *Config) { c.Keepalive, c.IdleTimeout = -1, idle }, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		<-speak
		_, _ = c.Write([]byte("answer"))
		_ = c.Close()
	})
	a.cfg.Keepalive, a.cfg.IdleTimeout = -1, idle
	c, err := a.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	time.AfterFunc(4*idle, func() { close(speak) })
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(all), "answer")
}

// TestARequestThatIsBrokenOffInATunnelIsReset guards against a part of a request that looks like
// one which ended with its connection: the daemon that carries it can't tell.
func TestARequestThatIsBrokenOffInATunnelIsReset(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan error, 1)
	a := tunnelThrough(t, nil, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		close(began)
		_, err := io.ReadAll(c)
		ended <- err
		_ = c.Close()
	})
	c, err := a.OpenTunnel(testContext(t), "b", "target")
	is.NoErr(err)
	_, err = c.Write([]byte("half of it"))
	is.NoErr(err)
	<-began
	is.NoErr(c.Close())
	is.True(<-ended != nil)
}
