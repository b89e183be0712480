package netconn

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resetAfter writes a part of an answer, and resets the connection once the part was read.
func resetAfter(t *testing.T, c *Conn, peer net.Conn) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(peer, "a part")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, len("a part")))
	is.NoErr(err)
	is.NoErr(peer.(*net.TCPConn).SetLinger(0))
	is.NoErr(peer.Close())
}

// writeUntilTold writes until the connection's error is told.
func writeUntilTold(c *Conn) {
	for {
		if _, err := c.Write([]byte("more of the request")); err != nil {
			return
		}
	}
}

// TestAResetThatAWriterWasToldIsNoEnd guards against the part of an answer that looks whole, as
// the kernel tells a reset once.
func TestAResetThatAWriterWasToldIsNoEnd(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	resetAfter(t, c, peer)
	writeUntilTold(c)
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
}

// TestTheEndBeforeAResetIsTheEnd checks an answer that has ended before the peer resets the
// connection, since it doesn't want the rest of the request.
func TestTheEndBeforeAResetIsTheEnd(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	_, err := io.WriteString(peer, "whole")
	is.NoErr(err)
	is.NoErr(peer.Close())
	body := make([]byte, len("whole"))
	_, err = io.ReadFull(c, body)
	is.NoErr(err)
	awaitReadable(t, c) // the end
	writeUntilTold(c)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestAPeerThatOnlyEndsItsDirectionIsRead checks that the end is read while a write still waits.
func TestAPeerThatOnlyEndsItsDirectionIsRead(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	is.NoErr(peer.(*net.TCPConn).CloseWrite())
	go func() { _, _ = c.Write(make([]byte, 32<<20)) }() // more than the sockets hold
	_, err := peer.Read(make([]byte, 1))
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestAWriterThatClosesAfterAResetLeavesNoEnd guards against the same where the writer has closed
// the connection before its reader can ask for its state.
func TestAWriterThatClosesAfterAResetLeavesNoEnd(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	resetAfter(t, c, peer)
	writeUntilTold(c)
	is.NoErr(c.Reset())
	is.True(errors.Is(c.endOrBreak(), syscall.ECONNRESET))
}

// TestAResetBehindADeadlineIsNoEnd guards against the same where the look for late data behind an
// expired deadline was told of the reset.
func TestAResetBehindADeadlineIsNoEnd(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	resetAfter(t, c, peer)
	awaitClosed(t, c)
	is.NoErr(c.SetReadDeadline(pastDeadline))
	for range 3 {
		_, err := c.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(err != io.EOF)
	}
	is.NoErr(c.SetReadDeadline(time.Time{}))
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(err != io.EOF)
}

// awaitClosed waits until the kernel has closed the connection, without asking for its error.
func awaitClosed(t *testing.T, c *Conn) {
	t.Helper()
	for !c.mayBeBroken() {
		runtime.Gosched()
	}
}
