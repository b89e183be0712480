package listener

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// accept accepts so many connections.
func accept(t *testing.T, l *Listener, n int) []*Conn {
	t.Helper()
	var all []*Conn
	for range n {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c.(*Conn))
	}
	return all
}

func fakeConns(n int) ([]any, []*fakeConn) {
	var results []any
	var conns []*fakeConn
	for range n {
		c := &fakeConn{}
		results, conns = append(results, c), append(conns, c)
	}
	return results, conns
}

// TestTheLongestIdleConnectionMakesRoom checks that callers that only keep connections open
// don't keep others out, and that one with a request is never closed for another.
func TestTheLongestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	results, conns := fakeConns(5)
	l := New(&script{results: results}, r.config(3))
	open := accept(t, l, 3)
	State(open[0], fasthttp.StateActive)
	open = append(open, accept(t, l, 1)...) // 1 has been idle longest
	is.Equal(conns[1].closed, 1)
	is.True(Ended(open[1]))
	State(open[0], fasthttp.StateIdle)
	State(open[2], fasthttp.StateActive)
	State(open[3], fasthttp.StateActive)
	open = append(open, accept(t, l, 1)...) // only 0 is idle
	is.Equal(conns[0].closed, 1)
	is.Equal(conns[2].closed+conns[3].closed+conns[4].closed, 0)
	is.Equal(r.endedIdle, 2)
	is.Equal(l.Open(), 3)
	is.True(!Ended(open[4]))
}

// TestAConnectionBeyondTheBoundIsClosedUnread checks the bound while all connections are busy,
// and that readiness is told.
func TestAConnectionBeyondTheBoundIsClosedUnread(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	results, conns := fakeConns(4)
	l := New(&script{results: results}, r.config(2))
	open := accept(t, l, 2)
	for _, c := range open {
		State(c, fasthttp.StateActive)
	}
	accepting, why := l.Accepting()
	is.True(!accepting)
	is.True(why != "")
	_, err := l.Accept()
	is.True(errors.Is(err, net.ErrClosed)) // both others were refused
	is.Equal(r.refused, 2)
	is.Equal(conns[2].closed+conns[3].closed, 2)
	is.NoErr(open[0].Close())
	is.NoErr(open[0].Close())
	is.Equal(l.Open(), 1)
	accepting, _ = l.Accepting()
	is.True(accepting)
}

// TestARequestOnAConnectionThatWasClosedForAnotherIsKnown guards against a request that is run
// although its caller can't be answered: it arrives as its connection is chosen.
func TestARequestOnAConnectionThatWasClosedForAnotherIsKnown(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	results, _ := fakeConns(2)
	l := New(&script{results: results}, r.config(1))
	open := accept(t, l, 2)
	State(open[0], fasthttp.StateActive)
	is.True(Ended(open[0]))
	is.NoErr(open[0].Close())
	State(open[0], fasthttp.StateIdle)
	is.Equal(l.Open(), 1)
}
