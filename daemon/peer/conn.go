package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/core/id"
)

// Error codes of closed connections.
const (
	codeClosed     quic.ApplicationErrorCode = 1
	codeRefused    quic.ApplicationErrorCode = 2
	codeFailed     quic.ApplicationErrorCode = 3
	codeSuperseded quic.ApplicationErrorCode = 4
)

// conn is one connection to or from a peer. Each side opens one unidirectional
// stream and sends its hello on it first.
type conn struct {
	remote *remote
	quic   *quic.Conn
	origin string

	// incarnation of the peer's process; set before helloReceived closes ready.
	incarnation id.Incarnation
	ready       chan struct{}

	writeMu sync.Mutex
	oneWay  *quic.SendStream
}

func (c *conn) close(code quic.ApplicationErrorCode, reason string) {
	// An error only means that the connection was already closed.
	_ = c.quic.CloseWithError(code, reason)
}

// alive reports whether the connection is still open.
func (c *conn) alive() bool { return c.quic.Context().Err() == nil }

// serve reads the peer's messages, calls and datagrams until the connection ends.
func (c *conn) serve() {
	t := c.remote.t
	var readers sync.WaitGroup
	readers.Go(c.acceptCalls)
	readers.Go(c.readDatagrams)
	err := c.sendHello()
	if err == nil {
		err = c.readOneWay()
	}
	c.close(codeFailed, errorText(err))
	readers.Wait()
	t.removeConn(c)
	c.remote.connEnded(c, err)
}

// errorText returns the error's text, truncated to fit in a QUIC CONNECTION_CLOSE
// frame.
func errorText(err error) string {
	const longest = 200 // bytes
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[:min(len(text), longest)]
}

// sendHello opens the one-way stream and sends the hello on it.
func (c *conn) sendHello() error {
	t := c.remote.t
	ctx, cancel := context.WithTimeout(c.quic.Context(), t.cfg.DialTimeout)
	defer cancel()
	stream, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	c.oneWay = stream
	c.writeMu.Unlock()
	if t.faults.drops(c.remote.name) {
		return nil
	}
	encoded, err := Encode(hello{Version: helloVersion, Incarnation: t.cfg.Self.Incarnation})
	if err != nil {
		return err
	}
	return c.write(encoded)
}

// write sends data on the one-way stream. It blocks while the peer is slow to read,
// for at most the write timeout.
func (c *conn) write(data []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.oneWay.SetWriteDeadline(time.Now().Add(c.remote.t.cfg.WriteTimeout)); err != nil {
		return err
	}
	_, err := c.oneWay.Write(data)
	return err
}

// readOneWay reads the peer's hello and then its one-way messages.
func (c *conn) readOneWay() error {
	t := c.remote.t
	stream, err := c.quic.AcceptUniStream(c.quic.Context())
	if err != nil {
		return err
	}
	reader := newFrameReader(stream, t.cfg.MaxMessage)
	var peerHello hello
	if _, err := reader.next(&peerHello); err != nil {
		return err
	}
	c.incarnation = peerHello.Incarnation
	c.remote.helloReceived(c)
	for {
		var f frame
		size, err := reader.next(&f)
		if err != nil {
			return err
		}
		t.traffic.countReceived(f.Kind, size)
		t.cfg.Handler.HandleOneWay(c.remote.name, f.Kind, f.Body)
	}
}

// removeConn removes a closed connection and adds its packets to the total of
// closed connections.
func (t *Transport) removeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; !ok {
		return
	}
	delete(t.conns, c)
	t.closedConns++
	t.closedTraffic.add(c.quic.ConnectionStats())
}
