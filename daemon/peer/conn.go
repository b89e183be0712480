package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/core/id"
)

// Codes with which a connection is closed.
const (
	codeClosed     quic.ApplicationErrorCode = 1
	codeRefused    quic.ApplicationErrorCode = 2
	codeFailed     quic.ApplicationErrorCode = 3
	codeSuperseded quic.ApplicationErrorCode = 4
)

// conn is one connection to or from a peer. Each side opens one one-way stream
// and begins it with its hello.
type conn struct {
	remote *remote
	quic   *quic.Conn
	origin string

	// incarnation of the peer's process; set before adopt closes ready.
	incarnation id.Incarnation
	ready       chan struct{}

	writeMu sync.Mutex
	oneWay  *quic.SendStream
}

func (c *conn) close(code quic.ApplicationErrorCode, reason string) {
	// The error would only say that the connection was closed before.
	_ = c.quic.CloseWithError(code, reason)
}

// alive reports whether the connection has not ended.
func (c *conn) alive() bool { return c.quic.Context().Err() == nil }

// serve reads all that the peer sends until the connection ends.
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

// errorText is cut to what fits a QUIC close frame.
func errorText(err error) string {
	const longest = 200
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[:min(len(text), longest)]
}

// greet opens the one-way stream and sends the hello on it.
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
	greeting, err := Encode(hello{Version: helloVersion, Incarnation: t.cfg.Self.Incarnation})
	if err != nil {
		return err
	}
	return c.write(greeting)
}

// write sends bytes on the one-way stream. It waits for a peer that is slow to
// read, up to the write timeout.
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
	var greeting hello
	if _, err := reader.next(&greeting); err != nil {
		return err
	}
	c.incarnation = greeting.Incarnation
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

// drop takes a connection that has ended off the list and keeps its counts.
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
