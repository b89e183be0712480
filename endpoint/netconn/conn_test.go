package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair returns both ends of a connection; the first one is wrapped in a Conn.
func pair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return New(dialled), accepted
}

// awaitReadable waits until data or the end of the stream has been received by the
// socket, independent of the connection's deadline.
func awaitReadable(t *testing.T, c *Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := c.SyscallConn()
	is.NoErr(err)
	for empty := true; empty; {
		is.NoErr(raw.Control(func(fd uintptr) {
			var one [1]byte
			_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			empty = errors.Is(err, syscall.EAGAIN)
		}))
	}
}

// TestReceivedDataTakesPrecedenceOverDeadline guards against losing an answer that
// arrived while the process was stalled past the deadline.
func TestReceivedDataTakesPrecedenceOverDeadline(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	_, err := other.Write([]byte("answer"))
	is.NoErr(err)
	awaitReadable(t, c)
	is.NoErr(c.SetReadDeadline(pastDeadline))
	var b [16]byte
	n, err := c.Read(b[:])
	is.NoErr(err)
	is.Equal(string(b[:n]), "answer")

	_, err = c.Read(b[:]) // without received data the deadline applies
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestReceivedEOFTakesPrecedenceOverDeadline checks the end of the connection, which
// also ends an answer without a length.
func TestReceivedEOFTakesPrecedenceOverDeadline(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	is.NoErr(other.Close())
	awaitReadable(t, c)
	is.NoErr(c.SetReadDeadline(pastDeadline))
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestReadsAfterDeadlineAreBounded guards against an endpoint that sends without end
// and so keeps a request running past its deadline.
func TestReadsAfterDeadlineAreBounded(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	go func() {
		block := make([]byte, 64<<10)
		for {
			if _, err := other.Write(block); err != nil {
				return
			}
		}
	}()
	is.NoErr(c.SetReadDeadline(pastDeadline))
	got := 0
	b := make([]byte, 4096)
	for got <= maxLateBytes {
		awaitReadable(t, c)
		n, err := c.Read(b)
		if err != nil {
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			break
		}
		got += n
	}
	is.Equal(got, maxLateBytes)

	is.NoErr(c.SetReadDeadline(time.Time{})) // a new deadline resets the bound
	_, err := c.Read(b)
	is.NoErr(err)
}

func TestExpiredConnectionReturnsReceivedData(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	_, err := other.Write([]byte("an"))
	is.NoErr(err)
	awaitReadable(t, c)
	c.Expire()
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Hour))) // has no effect after Expire
	var b [16]byte
	n, err := c.Read(b[:])
	is.NoErr(err)
	is.Equal(n, 2)
	_, err = c.Read(b[:])
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	_, err = c.Write([]byte("more"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestContextDeadlineKeepsReceivedData checks that received data can be read after
// the deadline of the context, and that cancelling the context closes the connection.
func TestContextDeadlineKeepsReceivedData(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	_, err := other.Write([]byte("answer"))
	is.NoErr(err)
	awaitReadable(t, c)
	ctx, cancel := context.WithDeadline(context.Background(), pastDeadline)
	defer cancel()
	is.True(!c.BindContext(ctx)())
	var b [16]byte
	n, err := c.Read(b[:])
	is.NoErr(err)
	is.Equal(string(b[:n]), "answer")
	_, err = c.Read(b[:])
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // not closed

	gone, leave := context.WithCancel(context.Background())
	c.BindContext(gone)
	leave()
	_, err = other.Read(b[:]) // closed
	is.Equal(err, io.EOF)
}

func TestExpireUnblocksRead(t *testing.T) {
	is := is.New(t)
	c, _ := pair(t)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	c.Expire()
	is.True(errors.Is(<-ended, os.ErrDeadlineExceeded))
}
