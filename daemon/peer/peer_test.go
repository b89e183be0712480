package peer

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

func TestOneWayMessagesArriveInOrderBothWays(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, atA := f.listen("a", nil)
	b, atB := f.listen("b", nil)
	is.NoErr(a.SetPeer("b", b.Address()))
	is.NoErr(b.SetPeer("a", a.Address()))

	const count = 500
	var senders sync.WaitGroup
	send := func(from *Transport, to id.Daemon) {
		for i := range count {
			if err := from.Send(to, kindNote, strings.Repeat("x", i)); err != nil {
				t.Error(err)
			}
		}
	}
	senders.Go(func() { send(a, "b") })
	senders.Go(func() { send(b, "a") })
	senders.Wait()
	for i := range count {
		is.Equal(next(t, atB.notes), received{"a", strings.Repeat("x", i)})
		is.Equal(next(t, atA.notes), received{"b", strings.Repeat("x", i)})
	}
	is.Equal(a.Traffic()[kindNote].Received, uint64(count))
	is.True(a.Traffic()[kindNote].ReceivedBytes >= count*(count-1)/2)
	is.True(a.Wire().SentBytes > 0)
}

func TestCallCarriesAnswersAndVerdicts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	b, _ := f.listen("b", nil)
	is.NoErr(a.SetPeer("b", b.Address()))
	ctx := testContext(t)

	var echo string
	is.NoErr(a.Call(ctx, "b", kindEcho, "hello", &echo))
	is.Equal(echo, "hello")

	err := a.Call(ctx, "b", kindFail, "x", nil)
	var failed *verdict.Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Verdict, verdict.NotRun)
	is.Equal(failed.Code, verdict.CodeOverloaded)
	is.Equal(failed.RetryAfter, time.Second)

	is.NoErr(b.Call(ctx, "a", kindEcho, "back", &echo)) // over the connection that a opened: b has no address for a
	is.Equal(echo, "back")
}

func TestAbandonedCallMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", nil)
	b, atB := f.listen("b", nil)
	is.NoErr(a.SetPeer("b", b.Address()))
	ctx, cancel := context.WithCancel(testContext(t))
	failed := make(chan error, 1)
	go func() { failed <- a.Call(ctx, "b", kindHang, "x", nil) }()
	<-atB.hanging
	cancel()
	is.Equal(verdict.Of(<-failed), verdict.MayHaveRun)
	<-atB.cancelled // the handler's context has ended
}

func TestUnreachablePeerIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, _ := f.listen("a", func(c *Config) { c.DialTimeout = 100 * time.Millisecond })
	gone, _ := f.listen("gone", nil)
	is.NoErr(a.SetPeer("gone", gone.Address()))
	gone.Close()
	is.Equal(verdict.Of(a.Call(testContext(t), "gone", kindEcho, "x", nil)), verdict.NotRun)
	is.Equal(verdict.Of(a.Call(testContext(t), "nobody", kindEcho, "x", nil)), verdict.NotRun)
	is.True(errors.Is(a.Send("nobody", kindNote, "x"), ErrUnknownPeer))
	is.True(errors.Is(a.Datagram("gone", kindNote, "x"), ErrNotConnected))
}

func TestOversizeMessagesAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	const bound = 2000
	a, _ := f.listen("a", func(c *Config) { c.MaxMessage = 2 * bound })
	b, atB := f.listen("b", func(c *Config) { c.MaxMessage = bound })
	is.NoErr(a.SetPeer("b", b.Address()))
	huge, over := strings.Repeat("x", 2*bound+1), strings.Repeat("x", 2*bound-100)

	is.True(errors.Is(a.Send("b", kindNote, huge), ErrTooLarge))
	is.True(errors.Is(a.Datagram("b", kindNote, strings.Repeat("x", MaxDatagram)), ErrTooLarge))
	err := a.Call(testContext(t), "b", kindEcho, huge, nil)
	is.True(errors.Is(err, ErrTooLarge))
	is.Equal(verdict.Of(err), verdict.NotRun)

	// The receiver enforces its own limit on a sender with a larger one.
	var refused *verdict.Error
	is.True(errors.As(a.Call(testContext(t), "b", kindEcho, over, nil), &refused))
	is.Equal(refused.Verdict, verdict.NotRun)
	is.Equal(refused.Code, verdict.CodeTooLarge)
	is.NoErr(a.Send("b", kindNote, over))
	is.NoErr(a.Send("b", kindNote, "lost with the connection or sent on the next"))
	waitDisconnected(t, a, 1)
	callUntilConnected(t, a, "b")
	is.NoErr(a.Send("b", kindNote, "last"))
	for next(t, atB.notes).text != "last" {
	}
	is.Equal(b.Traffic()[kindNote].ReceivedBytes < bound, true)
}

// TestALostSocketIsTold guards against a daemon that goes on although no peer can reach it.
func TestALostSocketIsTold(t *testing.T) {
	is := is.New(t)
	lost := make(chan error, 1)
	f := newFleet(t)
	a, _ := f.listen("a", func(c *Config) { c.Lost = func(err error) { lost <- err } })
	is.NoErr(a.socket.Close())
	is.True(<-lost != nil)
}

// TestAClosedTransportIsNotLost checks the regular end.
func TestAClosedTransportIsNotLost(t *testing.T) {
	is := is.New(t)
	lost := make(chan error, 1)
	f := newFleet(t)
	a, _ := f.listen("a", func(c *Config) { c.Lost = func(err error) { lost <- err } })
	a.Close()
	is.Equal(len(lost), 0)
}
