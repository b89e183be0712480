package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// A tunnel carries one connection to an endpoint over a peer that reaches it. Its
// stream begins with tunnelMark, the length of the target as two bytes, and the target.
// The peer answers with one byte and then passes the bytes on in both directions.

const (
	// tunnelMark is the first byte of a tunnel's stream. A call begins with the head of
	// a CBOR array, which is another byte.
	tunnelMark byte = 0
	// tunnelOpen and tunnelFailed are a peer's answers.
	tunnelOpen   byte = 0
	tunnelFailed byte = 1
	// tunnelBuffer is the size of the buffer for each direction of a tunnel, in bytes.
	tunnelBuffer = 4 << 10
	// idleFraction divides the idle timeout into the interval of a tunnel's keepalive
	// datagrams: two of them may be lost.
	idleFraction = 3
	// maxTunnelTarget bounds the length of a target, in bytes.
	maxTunnelTarget = 256
)

// ErrTunnelFailed: the peer does not reach the target either.
var ErrTunnelFailed = eris.New("the peer does not reach the target")

// OpenTunnel connects to a target through a peer. ctx bounds the opening only.
func (t *Transport) OpenTunnel(ctx context.Context, through id.Daemon, target string) (net.Conn, error) {
	if len(target) > maxTunnelTarget {
		return nil, eris.Wrapf(ErrTooLarge, "tunnel target of %d bytes", len(target))
	}
	r, err := t.find(through)
	if err != nil {
		return nil, err
	}
	if t.faults.drops(through) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := r.connection(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { resetStream(stream, streamCancelled) })
	if err := negotiate(stream, target); err != nil {
		stop()
		resetStream(stream, streamCancelled)
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	if !t.spawn(func() { keepOpen(c.quic, stream, t.cfg.IdleTimeout/idleFraction) }) {
		resetStream(stream, streamCancelled)
		return nil, ErrClosed
	}
	return &tunnel{Stream: stream, quic: c.quic}, nil
}

// keepOpen sends empty datagrams, which the peer ignores, for as long as a tunnel is open.
// Otherwise the connection would end after the idle timeout, although the tunnel's target may
// be silent for longer and then go on.
func keepOpen(connection *quic.Conn, stream *quic.Stream, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stream.Context().Done():
			return
		case <-ticker.C:
			if connection.SendDatagram(nil) != nil {
				return // the connection has ended, which the tunnel's reader notices
			}
		}
	}
}

// negotiate sends the target and reads the peer's answer.
func negotiate(stream *quic.Stream, target string) error {
	request := binary.BigEndian.AppendUint16([]byte{tunnelMark}, uint16(len(target)))
	if _, err := stream.Write(append(request, target...)); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(stream, answer[:]); err != nil {
		return err
	}
	if answer[0] != tunnelOpen {
		return ErrTunnelFailed
	}
	return nil
}

// tunnel is a net.Conn over a stream.
type tunnel struct {
	*quic.Stream
	quic *quic.Conn
}

// Close implements net.Conn. The peer closes its connection to the target.
func (t *tunnel) Close() error {
	resetStream(t.Stream, streamCancelled)
	return nil
}

// LocalAddr implements net.Conn.
func (t *tunnel) LocalAddr() net.Addr { return t.quic.LocalAddr() }

// RemoteAddr implements net.Conn. It is the peer's address.
func (t *tunnel) RemoteAddr() net.Addr { return t.quic.RemoteAddr() }

// CarriedTunnels returns how many tunnels this daemon carries for its peers at the moment,
// those that are being opened included.
func (t *Transport) CarriedTunnels() int { return len(t.tunnels) }

// acquireTunnel reserves one of the tunnels that the daemon carries for its peers.
func (t *Transport) acquireTunnel() bool {
	select {
	case t.tunnels <- struct{}{}:
		return true
	default:
		return false
	}
}

// acceptTunnel serves a stream that begins with tunnelMark on a goroutine of its own,
// since a tunnel lasts as long as its connection.
func (c *conn) acceptTunnel(stream *quic.Stream) {
	t := c.remote.t
	if t.cfg.OpenTarget == nil || !t.acquireTunnel() {
		resetStream(stream, streamRefused)
		return
	}
	started := t.spawn(func() {
		defer func() { <-t.tunnels }()
		c.serveTunnel(stream)
	})
	if !started {
		<-t.tunnels
		resetStream(stream, streamRefused)
	}
}

func (c *conn) serveTunnel(stream *quic.Stream) {
	target, err := readTarget(stream)
	if err != nil || stream.SetReadDeadline(time.Time{}) != nil {
		resetStream(stream, streamRefused)
		return
	}
	conn, err := c.remote.t.cfg.OpenTarget(stream.Context(), c.remote.name, target)
	if err != nil {
		_, _ = stream.Write([]byte{tunnelFailed}) // the other end sees an error either way
		_ = stream.Close()
		stream.CancelRead(streamRefused)
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := stream.Write([]byte{tunnelOpen}); err != nil {
		resetStream(stream, streamFailed)
		return
	}
	carry(stream, conn)
}

// readTarget reads the target after the mark.
func readTarget(stream io.Reader) (string, error) {
	var size [2]byte
	if _, err := io.ReadFull(stream, size[:]); err != nil {
		return "", err
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxTunnelTarget {
		return "", errors.New("the target is too long")
	}
	target := make([]byte, n)
	_, err := io.ReadFull(stream, target)
	return string(target), err
}

// breakOff closes the target's connection. Unless the caller's bytes ended regularly, it is
// reset where it can be: the target must not take a part of a request for one that ended with
// its connection.
func breakOff(conn net.Conn, err error) {
	broken, ok := conn.(interface{ Reset() error })
	if err == nil || !ok {
		_ = conn.Close()
		return
	}
	_ = broken.Reset()
}

// carry passes bytes on in both directions until one side ends. The end of the target's
// connection becomes the end of the stream only if it was regular: an answer that was
// broken off must not look complete. Behind a regular end the tunnel lasts until the caller
// closes it: a daemon that stops meanwhile would take away what the caller has not read.
func carry(stream *quic.Stream, conn net.Conn) {
	upward := make(chan struct{})
	go func() {
		defer close(upward)
		// It ends when the caller has closed or lost the tunnel, perhaps within a request.
		err := copyBytes(conn, stream)
		stream.CancelRead(streamFailed)
		breakOff(conn, err)
	}()
	if err := copyBytes(stream, conn); err != nil {
		resetStream(stream, streamFailed)
	} else {
		_ = stream.Close() // fails only if the caller has gone
	}
	<-upward
}

// copyBytes copies to the regular end of src. It hides the methods by which io.Copy would
// choose a larger buffer.
func copyBytes(dst io.Writer, src io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, make([]byte, tunnelBuffer))
	return err
}
