package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// batchBytes is about how many bytes of one-way messages are written at once.
const batchBytes = 32 << 10

// outgoing is a message that waits to be sent. Rings hold pointers, so that an
// empty one is small: there are two for each peer.
type outgoing struct {
	kind Kind
	body []byte
	// due is when it may be sent; it is dropped a while after that.
	due time.Time
}

// Send hands over a one-way message. It never waits: an error says that the
// message was not sent, no error that it may arrive, in order, at most once.
func (t *Transport) Send(to id.Daemon, kind Kind, msg any) error {
	r, err := t.find(to)
	if err != nil {
		return err
	}
	body, err := t.encode(to, msg)
	if err != nil {
		return err
	}
	if t.faults.drops(to) {
		t.traffic.countLost(kind)
		return nil
	}
	item := &outgoing{kind: kind, body: body, due: time.Now().Add(t.faults.latency(to))}
	if !r.messages.Put(t.ctx, item) {
		return eris.Wrapf(ErrRingFull, "peer %s, kind %s", to, t.cfg.KindName(kind))
	}
	return nil
}

// encode gives the message's body if it is within the bound.
func (t *Transport) encode(to id.Daemon, msg any) ([]byte, error) {
	body, err := Encode(msg)
	if err != nil {
		return nil, err
	}
	if len(body) > t.cfg.MaxMessage {
		return nil, eris.Wrapf(ErrTooLarge, "peer %s: %T of %d bytes, bound %d", to, msg, len(body), t.cfg.MaxMessage)
	}
	return body, nil
}

// run sends what waits for the peer, in order.
func (r *remote) run() {
	var held *outgoing
	for r.ctx.Err() == nil {
		if held == nil {
			held = r.nextMessage()
		}
		if held == nil {
			continue
		}
		if !pause(r.ctx, time.Until(held.due)) {
			return
		}
		held = r.sendBatch(held)
	}
}

// nextMessage waits for a message; it makes connections for others meanwhile.
func (r *remote) nextMessage() *outgoing {
	select {
	case item := <-r.messages.Chan():
		return item
	case <-r.dialRequested:
		r.connect()
	case <-r.ctx.Done():
	}
	return nil
}

// sendBatch writes first and what else is due, and returns a message that was
// taken and is still to be sent.
func (r *remote) sendBatch(first *outgoing) *outgoing {
	c := r.connect()
	if c == nil {
		return r.dropExpired(first)
	}
	now := time.Now()
	batch := &batch{remote: r, now: now}
	batch.add(first)
	held := batch.fill()
	if len(batch.data) == 0 {
		return held
	}
	if err := c.write(batch.data); err != nil {
		c.close(codeFailed, errorText(err))
		batch.countLost()
		return held
	}
	batch.countSent()
	return held
}

// keepYoung drops a message that has waited too long for a connection.
func (r *remote) dropExpired(item *outgoing) *outgoing {
	if time.Since(item.due) <= r.t.cfg.MaxAge {
		return item
	}
	r.t.traffic.countLost(item.kind)
	return nil
}

// batch is a run of frames that is written at once.
type batch struct {
	remote *remote
	now    time.Time
	data   []byte
	sent   []sentFrame
}

// sentFrame is what is counted of a frame.
type sentFrame struct {
	kind  Kind
	bytes int
}

// fill adds waiting messages until the batch is large enough, and returns one
// that was taken but is not due.
func (b *batch) fill() *outgoing {
	for len(b.data) < batchBytes {
		item, ok := b.remote.messages.TryTake()
		if !ok {
			return nil
		}
		if item.due.After(b.now) {
			return item
		}
		b.add(item)
	}
	return nil
}

// add appends a frame, unless the message has waited too long.
func (b *batch) add(item *outgoing) {
	t := b.remote.t
	if b.now.Sub(item.due) > t.cfg.MaxAge {
		t.traffic.countLost(item.kind)
		return
	}
	encoded, err := Encode(frame{Kind: item.kind, Body: item.body})
	if err != nil {
		t.traffic.countLost(item.kind)
		return
	}
	b.data = append(b.data, encoded...)
	b.sent = append(b.sent, sentFrame{kind: item.kind, bytes: len(encoded)})
}

func (b *batch) countSent() {
	for _, f := range b.sent {
		b.remote.t.traffic.countSent(f.kind, f.bytes)
	}
}

func (b *batch) countLost() {
	for _, f := range b.sent {
		b.remote.t.traffic.countLost(f.kind)
	}
}

// wait pauses for the latency that a hook adds on the way to the peer.
func (r *remote) simulateLatency(ctx context.Context) bool {
	return pause(ctx, r.t.faults.latency(r.name))
}
