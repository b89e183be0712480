package peer

import (
	"errors"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// datagramRingSize is the number of datagrams that can be queued for one peer; when
// the ring is full the oldest is dropped.
const datagramRingSize = 64

// datagramHeaderSize is the size of the header, in bytes: the kind.
const datagramHeaderSize = 1

// MaxDatagram is the maximum size of a datagram's body, in bytes. It fits into the
// smallest QUIC packet.
const MaxDatagram = 1100

// Datagram sends a message that may be lost or reordered and is never
// retransmitted. It does not block: without a connection it requests one and
// returns ErrNotConnected.
func (t *Transport) Datagram(to id.Daemon, kind Kind, msg any) error {
	r, err := t.find(to)
	if err != nil {
		return err
	}
	body, err := t.encode(to, msg)
	if err != nil {
		return err
	}
	if len(body) > MaxDatagram {
		return eris.Wrapf(ErrTooLarge, "peer %s: datagram %T of %d bytes exceeds the limit of %d", to, msg, len(body), MaxDatagram)
	}
	if t.faults.drops(to) {
		t.traffic.countLost(kind)
		return nil
	}
	if r.live() == nil {
		signal(r.dialRequested)
		return eris.Wrapf(ErrNotConnected, "peer %s", to)
	}
	r.startDatagrams()
	r.datagrams.Put(t.ctx, &outgoing{kind: kind, body: body, due: time.Now().Add(t.faults.latency(to))})
	return nil
}

// startDatagrams starts the goroutine that sends the peer's datagrams, on first
// use.
func (r *remote) startDatagrams() {
	r.mu.Lock()
	started := r.datagramSenderStarted
	r.datagramSenderStarted = true
	r.mu.Unlock()
	if !started {
		r.t.spawn(r.sendDatagrams)
	}
}

func (r *remote) sendDatagrams() {
	for {
		item, ok := r.datagrams.Take(r.ctx)
		if !ok || !pause(r.ctx, time.Until(item.due)) {
			return
		}
		r.sendDatagram(item)
	}
}

func (r *remote) sendDatagram(item *outgoing) {
	t := r.t
	c := r.live()
	if c == nil {
		t.traffic.countLost(item.kind)
		return
	}
	packet := append([]byte{byte(item.kind)}, item.body...)
	if err := c.quic.SendDatagram(packet); err != nil {
		t.traffic.countLost(item.kind)
		r.reportDatagramError(err)
		return
	}
	t.traffic.countSent(item.kind, len(packet))
}

// reportDatagramError reports datagrams that exceed the path's packet size. Other
// errors mean that the connection has ended, which connEnded reports.
func (r *remote) reportDatagramError(err error) {
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		r.t.cfg.Report("peer_datagram_too_large", "peer", r.name, "bound", tooLarge.MaxDatagramPayloadSize)
	}
}

func (c *conn) readDatagrams() {
	t := c.remote.t
	for {
		packet, err := c.quic.ReceiveDatagram(c.quic.Context())
		if err != nil {
			return
		}
		if len(packet) < datagramHeaderSize {
			continue
		}
		kind := Kind(packet[0])
		t.traffic.countReceived(kind, len(packet))
		t.cfg.Handler.HandleDatagram(c.remote.name, kind, packet[datagramHeaderSize:])
	}
}
