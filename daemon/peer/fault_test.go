package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

func TestOneWayLossDropsOnlyOneDirection(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, atA := f.listen("a", nil)
	b, atB := f.listen("b", nil)
	is.NoErr(a.SetPeer("b", b.Address()))
	is.NoErr(b.SetPeer("a", a.Address()))
	callUntilConnected(t, a, "b")

	a.SetFault(func(to id.Daemon) Drop { return to == "b" })
	is.NoErr(a.Send("b", kindNote, "dropped"))
	is.NoErr(a.Datagram("b", kindNote, "dropped"))
	is.Equal(a.Traffic()[kindNote].Lost, uint64(2))
	is.NoErr(b.Send("a", kindNote, "arrives"))
	is.Equal(next(t, atA.notes).text, "arrives")

	ctx, cancel := context.WithCancel(testContext(t))
	failed := make(chan error, 1)
	go func() { failed <- b.Call(ctx, "a", kindHang, "x", nil) }()
	<-atA.hanging // the call arrives; its answer would be dropped
	cancel()
	is.Equal(verdict.Of(<-failed), verdict.MayHaveRun)

	a.SetFault(nil)
	is.NoErr(a.Send("b", kindNote, "healed"))
	is.Equal(next(t, atB.notes).text, "healed")
}

func TestReconnectsToRestartedPeer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, atA := f.listen("a", nil)
	material, err := f.ca.Peer("b")
	is.NoErr(err)
	sameKeys := func(c *Config) { c.Keys = keys.FromMaterial(material) }
	b1, _ := f.listen("b", sameKeys)
	address := b1.Address()
	is.NoErr(a.SetPeer("b", address))
	callUntilConnected(t, a, "b")
	is.Equal(a.Peers()[0].Process, id.Process{Daemon: "b", Incarnation: 1})

	b1.Close()
	b2, _ := f.listen("b", func(c *Config) {
		sameKeys(c)
		c.Listen = address
		c.Self.Incarnation = 2
	})
	callUntilConnected(t, a, "b")
	is.Equal(a.Peers()[0].Process.Incarnation, id.Incarnation(2))
	is.NoErr(b2.Send("a", kindNote, "from the new process"))
	is.Equal(next(t, atA.notes), received{"b", "from the new process"})
}

func TestNewProcessEndsConnectionsOfTheOldOne(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	old, _ := f.listen("b", nil)
	is.NoErr(old.SetPeer("a", a.Address()))
	callUntilConnected(t, old, "a")
	// The old process still runs, for instance after a pause, when its successor
	// connects.
	successor, atSuccessor := f.listen("b", func(c *Config) { c.Self.Incarnation = 2 })
	is.NoErr(successor.SetPeer("a", a.Address()))
	callUntilConnected(t, successor, "a")
	waitDisconnected(t, a, 1)
	is.NoErr(a.Send("b", kindNote, "to the successor"))
	is.Equal(next(t, atSuccessor.notes).text, "to the successor")
}

func TestForeignCertificatesAreRefused(t *testing.T) {
	is := is.New(t)
	f, foreign := newFleet(t), newFleet(t)
	short := func(c *Config) { c.DialTimeout = 300 * time.Millisecond }
	a, _ := f.listen("a", nil)
	untrusted, _ := foreign.listen("b", short)
	is.NoErr(untrusted.SetPeer("a", a.Address()))
	is.Equal(verdict.Of(untrusted.Call(testContext(t), "a", kindEcho, "x", nil)), verdict.NotRun)
	is.Equal(len(a.Peers()), 0)

	// A daemon that presents a certificate for another name is refused too.
	c, _ := f.listen("c", short)
	is.NoErr(c.SetPeer("b", a.Address()))
	is.Equal(verdict.Of(c.Call(testContext(t), "b", kindEcho, "x", nil)), verdict.NotRun)
}

func TestFullRingIsAnError(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", func(c *Config) { c.RingSize = 4 })
	is.NoErr(a.SetPeer("b", "")) // without an address there is no connection, so the ring fills up
	var err error
	for range 64 {
		if err = a.Send("b", kindNote, "x"); err != nil {
			break
		}
	}
	is.True(errors.Is(err, ErrRingFull))
}

func TestDatagramsAndDelay(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	b, atB := f.listen("b", nil)
	is.NoErr(a.SetPeer("b", b.Address()))
	callUntilConnected(t, a, "b")
	const delay = 30 * time.Millisecond
	a.SetDelay(func(id.Daemon) time.Duration { return delay })
	began := time.Now()
	is.NoErr(a.Send("b", kindNote, "late"))
	is.Equal(next(t, atB.notes).text, "late")
	is.True(time.Since(began) >= delay) // a lower bound holds on a slow machine too
	ctx := testContext(t)
	for len(atB.datagrams) == 0 && ctx.Err() == nil {
		is.NoErr(a.Datagram("b", kindNote, "datagram"))
		pause(ctx, 5*time.Millisecond)
	}
	is.Equal(next(t, atB.datagrams), received{"a", "datagram"})
}

func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", func(c *Config) { c.MaxPeers = 1 })
	is.NoErr(a.SetPeer("b", "127.0.0.1:1"))
	is.True(errors.Is(a.SetPeer("c", "127.0.0.1:2"), ErrTooManyPeers))
	a.RemovePeer("b")
	is.NoErr(a.SetPeer("c", "127.0.0.1:2"))
	is.True(a.SetPeer("a", "127.0.0.1:3") != nil) // itself
	a.Close()
	is.True(errors.Is(a.Send("c", kindNote, "x"), ErrClosed))
}

func TestPanickingHandlerMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	registry := metrics.New("b")
	b, _ := f.listen("b", func(c *Config) { c.Registry = registry })
	is.NoErr(a.SetPeer("b", b.Address()))
	is.Equal(verdict.Of(a.Call(testContext(t), "b", kindPanic, "x", nil)), verdict.MayHaveRun)
	callUntilConnected(t, a, "b") // the connection stays open
	b.Close()                     // waits for the worker, which counts the panic
	is.Equal(registry.Violations(), uint64(1))
}

func TestIncomingPeerIsRemovedAfterDisconnect(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	guest, _ := f.listen("guest", nil)
	is.NoErr(guest.SetPeer("a", a.Address()))
	callUntilConnected(t, guest, "a")
	is.Equal(len(a.Peers()), 1)
	guest.Close()
	ctx := testContext(t)
	for len(a.Peers()) > 0 && ctx.Err() == nil {
		pause(ctx, time.Millisecond)
	}
	is.NoErr(ctx.Err())
}

func TestFullWorkersRefuseCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	b, atB := f.listen("b", func(c *Config) { c.CallWorkers = 1 })
	is.NoErr(a.SetPeer("b", b.Address()))
	ctx, cancel := context.WithCancel(testContext(t))
	failed := make(chan error, 1)
	go func() { failed <- a.Call(ctx, "b", kindHang, "x", nil) }()
	<-atB.hanging
	var refused *verdict.Error
	is.True(errors.As(a.Call(testContext(t), "b", kindEcho, "x", nil), &refused))
	is.Equal(refused.Verdict, verdict.NotRun)
	is.Equal(refused.Code, verdict.CodeOverloaded)
	cancel()
	<-failed
}

func TestUnusedConnectionsEndWithoutKeepalive(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	quiet := func(c *Config) {
		c.Keepalive = -1
		c.IdleTimeout = 200 * time.Millisecond
	}
	a, _ := f.listen("a", quiet)
	b, _ := f.listen("b", quiet)
	is.NoErr(a.SetPeer("b", b.Address()))
	callUntilConnected(t, a, "b")
	waitDisconnected(t, a, 1)
	callUntilConnected(t, a, "b") // connects again on use
}

// In a large fleet a daemon must not hold state for every other daemon.
func TestResolvedPeerIsConnectedOnUseAndRemovedWhenUnused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, atB := f.listen("b", nil)
	a, _ := f.listen("a", func(c *Config) {
		c.Address = func(name id.Daemon) string {
			if name == "b" {
				return b.Address()
			}
			return ""
		}
	})
	is.True(errors.Is(a.Send("c", kindNote, "x"), ErrUnknownPeer))
	is.NoErr(a.Send("b", kindNote, "hello")) // SetPeer was not called for b
	is.Equal(next(t, atB.notes).text, "hello")

	later := time.Now().Add(time.Hour)
	a.removeUnusedBefore(later)
	is.Equal(len(a.Peers()), 1) // kept: still connected
	for _, c := range a.connections() {
		c.close(codeClosed, "test")
	}
	waitDisconnected(t, a, 1)
	a.removeUnusedBefore(time.Now().Add(-time.Hour))
	is.Equal(len(a.Peers()), 1) // kept: used since then
	a.removeUnusedBefore(later)
	is.Equal(len(a.Peers()), 0)
	is.NoErr(a.Send("b", kindNote, "again"))
	is.Equal(next(t, atB.notes).text, "again")
}

// connections returns the open connections.
func (t *Transport) connections() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*conn
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}
