package callerconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// answerSize is more than the buffers of two sockets hold, in bytes.
const answerSize = 32 << 20

// startAnswers starts a server of one caller, which gets large answers. It returns a channel that receives an item
// when a handler has returned.
func startAnswers(t *testing.T) (a *Answers, address string, handled <-chan struct{}) {
	t.Helper()
	a = &Answers{}
	returned := make(chan struct{}, 1)
	s := &fasthttp.Server{NoDefaultDate: true, ConnState: a.State, Handler: func(ctx *fasthttp.RequestCtx) {
		a.Owe(ctx.Conn())
		ctx.Response.SetBodyRaw(make([]byte, answerSize))
		returned <- struct{}{}
	}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if c, err := ln.Accept(); err == nil {
			_ = s.ServeConn(c) // ends when the caller has gone
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-ended })
	return a, ln.Addr().String(), returned
}

// ask sends a request and waits until its handler has returned.
func ask(t *testing.T, address string, handled <-chan struct{}) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handled
	return c
}

func waitOwed(t *testing.T, a *Answers, want int) {
	t.Helper()
	for end := time.Now().Add(testBound); a.Owed() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d answers are owed, not %d", a.Owed(), want)
		}
	}
}

// TestAnAnswerIsOwedUntilItsLastByteIsWritten guards against a stop that cuts an answer which
// its caller reads after the handler has returned.
func TestAnAnswerIsOwedUntilItsLastByteIsWritten(t *testing.T) {
	is := is.New(t)
	a, address, handled := startAnswers(t)
	c := ask(t, address, handled)
	is.Equal(a.Owed(), 1)
	_, err := io.CopyN(io.Discard, c, answerSize/4)
	is.NoErr(err)
	is.Equal(a.Owed(), 1)
	_, err = io.CopyN(io.Discard, c, 3*answerSize/4)
	is.NoErr(err)
	waitOwed(t, a, 0)
}

func TestAnAnswerWhoseCallerHasGoneIsNotOwed(t *testing.T) {
	is := is.New(t)
	a, address, handled := startAnswers(t)
	c := ask(t, address, handled)
	is.Equal(a.Owed(), 1)
	is.NoErr(c.Close())
	waitOwed(t, a, 0)
}
