package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// batchBytes is the approximate number of bytes of one-way messages in one write.
const batchBytes = 32 << 10

// outgoing is a queued message. Rings hold pointers so that an empty ring is small:
// each peer has two.
type outgoing struct {
	kind Kind
	body []byte
	// due is the earliest time at which the message may be sent. It is dropped if
	// it is still queued MaxAge later.
	due time.Time
}

// Send queues a one-way message and never blocks. An error means that the message
// was not sent; without an error it may arrive, in order and at most once.
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

// encode returns the message's encoded body, or ErrTooLarge if that exceeds the
// size limit.
func (t *Transport) encode(to id.Daemon, msg any) ([]byte, error) {
	body, err := Encode(msg)
	if err != nil {
		return nil, err
	}
	if len(body) > t.cfg.MaxMessage {
		return nil, eris.Wrapf(ErrTooLarge, "peer %s: %T of %d bytes exceeds the limit of %d", to, msg, len(body), t.cfg.MaxMessage)
	}
	return body, nil
}

// run sends the peer's queued messages in order.
func (r *remote) run() {
	var pending *outgoing
	for r.ctx.Err() == nil {
		if pending == nil {
			pending = r.nextMessage()
		}
		if pending == nil {
			continue
		}
		if !pause(r.ctx, time.Until(pending.due)) {
			return
		}
		pending = r.sendBatch(pending)
	}
}

// nextMessage waits for a message. Meanwhile it dials if a call or datagram needs a
// connection; it then returns nil.
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

// sendBatch writes first and the other messages that are due. It returns a message
// that was taken from the queue and is still to be sent.
func (r *remote) sendBatch(first *outgoing) *outgoing {
	c := r.connect()
	if c == nil {
		return r.dropExpired(first)
	}
	now := time.Now()
	batch := &batch{remote: r, now: now}
	batch.add(first)
	pending := batch.fill()
	if len(batch.data) == 0 {
		return pending
	}
	if err := c.write(batch.data); err != nil {
		c.close(codeFailed, errorText(err))
		batch.countLost()
		return pending
	}
	batch.countSent()
	return pending
}

// dropExpired drops a message that has waited for a connection longer than MaxAge,
// and else returns it.
func (r *remote) dropExpired(item *outgoing) *outgoing {
	if time.Since(item.due) <= r.t.cfg.MaxAge {
		return item
	}
	r.t.traffic.countLost(item.kind)
	return nil
}

// batch is a sequence of frames that is sent in one write.
type batch struct {
	remote *remote
	now    time.Time
	data   []byte
	sent   []sentFrame
}

// sentFrame is the kind and size of a frame, for the counters.
type sentFrame struct {
	kind  Kind
	bytes int
}

// fill adds queued messages until the batch is large enough. It returns a message
// that was taken from the queue but is not due.
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

// add appends a frame, unless the message has waited longer than MaxAge.
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

// simulateLatency waits for the latency that SetDelay injects.
func (r *remote) simulateLatency(ctx context.Context) bool {
	return pause(ctx, r.t.faults.latency(r.name))
}
