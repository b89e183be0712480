package callerconn

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

// testBound ends a wait that would otherwise hang.
const testBound = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is a handed-in clock.
type clock struct{ now atomic.Int64 }

func (c *clock) read() time.Duration     { return time.Duration(c.now.Load()) }
func (c *clock) advance(d time.Duration) { c.now.Add(int64(d)) }

// connect returns a wrapped connection and the end of its caller.
func connect(t *testing.T, s *Callers) (*Conn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := s.Listen(inner)
	defer ln.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	served, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = served.Close() })
	return served.(*Conn), caller
}

// writeForever writes until the connection ends, and returns the channel of the error.
func writeForever(c *Conn) <-chan error {
	result := make(chan error, 1)
	go func() {
		block := make([]byte, 1<<20)
		for {
			if _, err := c.Write(block); err != nil {
				result <- err
				return
			}
		}
	}()
	return result
}

// TestACallerThatDoesNotReadIsEnded checks that the answer of a caller that doesn't read is
// not kept for it.
func TestACallerThatDoesNotReadIsEnded(t *testing.T) {
	is := is.New(t)
	time0 := &clock{}
	reported := make(chan Unread, 1)
	c, _ := connect(t, New(time0.read, func(u Unread) { reported <- u }))
	result := writeForever(c)
	time0.advance(time.Millisecond)
	// It takes what fits into the buffers of the sockets, and then nothing.
	for time0.read() < time.Minute {
		select {
		case err := <-result:
			is.True(errors.Is(err, ErrNotReading))
			is.True((<-reported).For >= unreadFor)
			return
		case <-time.After(writeTick):
			time0.advance(time.Second)
		}
	}
	t.Fatal("the write goes on")
}

// TestWhenBytesAreShortThoseWhoDoNotReadAreEndedAtOnce checks that others are not refused for
// the bytes of callers that don't read, and that those who read are spared.
func TestWhenBytesAreShortThoseWhoDoNotReadAreEndedAtOnce(t *testing.T) {
	is := is.New(t)
	time0 := &clock{}
	reported := make(chan Unread, 1)
	s := New(time0.read, func(u Unread) { reported <- u })
	budget := bytebudget.New(400, nil)
	budget.OnShort(s.EndUnread)
	c, _ := connect(t, s)
	account := budget.Open()
	is.NoErr(account.Take(context.Background(), 300, time.Now()))
	c.Charge(account)
	result := writeForever(c)
	for end := time.Now().Add(testBound); !s.EndUnread(); time.Sleep(writeTick / 10) {
		time0.advance(unreadWhenShort / 20)
		if time.Now().After(end) {
			t.Fatal("the write goes on")
		}
	}
	is.True(<-result != nil)
	u := <-reported
	is.Equal(u.Held, int64(300))
	State(c, fasthttp.StateClosed)
	is.Equal(budget.Held(), int64(0))
	is.True(!s.EndUnread()) // only once
}

// TestASlowCallerIsNotEnded checks that a caller that takes its answer in small parts gets
// all of it, however long that takes.
func TestASlowCallerIsNotEnded(t *testing.T) {
	is := is.New(t)
	time0 := &clock{}
	c, caller := connect(t, New(time0.read, func(Unread) { t.Error("ended") }))
	const size = 16 << 20
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		written <- err
	}()
	part := make([]byte, 256<<10)
	for got := 0; got < size; {
		n, err := caller.Read(part)
		is.NoErr(err)
		got += n
		time0.advance(unreadFor / 100)
	}
	is.NoErr(<-written)
}

// TestWhatIsHeldIsGivenBackWithTheAnswer checks both ends of a request's service.
func TestWhatIsHeldIsGivenBackWithTheAnswer(t *testing.T) {
	for _, state := range []fasthttp.ConnState{fasthttp.StateIdle, fasthttp.StateClosed} {
		is := is.New(t)
		budget := bytebudget.New(400, nil)
		c, _ := connect(t, New((&clock{}).read, func(Unread) {}))
		account := budget.Open()
		is.NoErr(account.Take(context.Background(), 100, time.Now()))
		c.Charge(account)
		State(c, fasthttp.StateActive)
		is.Equal(budget.Held(), int64(100))
		State(c, state)
		State(c, state)
		is.Equal(budget.Held(), int64(0))
	}
}
