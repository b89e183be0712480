package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// dialDeferral is how long a daemon leaves the dial to a peer with a lower name. It
// is longer than a handshake between hosts, and shorter than the time for which a
// message may wait.
const dialDeferral = 50 * time.Millisecond

func (r *remote) notifyWaitersLocked(o dialResult) {
	for _, w := range r.waiters {
		w <- o
	}
	r.waiters = nil
}

// connection returns the live connection, or waits for the result of the next dial.
func (r *remote) connection(ctx context.Context) (*conn, error) {
	r.mu.Lock()
	if c := r.liveLocked(); c != nil {
		r.mu.Unlock()
		return c, nil
	}
	result := make(chan dialResult, 1)
	r.waiters = append(r.waiters, result)
	r.mu.Unlock()
	signal(r.dialRequested)
	select {
	case o := <-result:
		return o.conn, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return nil, ErrClosed
	}
}

// connect returns the live connection, or dials once. After a failed dial it first
// waits, with backoff and jitter. It returns nil if there is no connection.
func (r *remote) connect() *conn {
	if c := r.live(); c != nil {
		return c
	}
	r.waitBackoff()
	r.deferDial()
	release, ok := r.acquireDialSlot()
	if !ok {
		return r.live()
	}
	defer release()
	if err := r.dial(); err != nil {
		r.nextDial = time.Now().Add(r.backoff.NextBackOff())
		r.mu.Lock()
		r.notifyWaitersLocked(dialResult{err: err})
		r.mu.Unlock()
		return nil
	}
	r.backoff.Reset()
	r.nextDial = time.Time{}
	return r.live()
}

// waitBackoff waits until the next dial is allowed, or until there is a connection
// or a new address.
func (r *remote) waitBackoff() {
	wait := time.Until(r.nextDial)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.changed:
	case <-r.ctx.Done():
	}
}

// deferDial lets a peer with a lower name dial first. Otherwise two daemons that
// start to communicate at the same time would keep two connections.
func (r *remote) deferDial() {
	if r.name > r.t.cfg.Self.Daemon {
		return
	}
	timer := time.NewTimer(dialDeferral)
	defer timer.Stop()
	for r.live() == nil {
		select {
		case <-timer.C:
			return
		case <-r.changed:
		case <-r.ctx.Done():
			return
		}
	}
}

// acquireDialSlot waits for a dial slot; ok is false if a connection was made in
// the meantime or the peer is closed. release frees the slot.
//
// If all daemons of a fleet start at once, each dials many others. Without a limit
// the concurrent handshakes take longer than the dial timeout, so that their work
// is wasted and the peers are dialled again.
func (r *remote) acquireDialSlot() (release func(), ok bool) {
	for r.live() == nil {
		select {
		case r.t.dialSlots <- struct{}{}:
			if r.t.ctx.Err() != nil {
				// A dial that was cancelled by the transport's end released its
				// slot; this peer's own context may be cancelled slightly later.
				<-r.t.dialSlots
				return nil, false
			}
			return r.dialSlotRelease(), true
		case <-r.changed:
		case <-r.ctx.Done():
			return nil, false
		}
	}
	return nil, false
}

// dialSlotRelease returns a function that releases the dial slot. The slot is also
// released after DialSlotTimeout.
func (r *remote) dialSlotRelease() func() {
	end := sync.OnceFunc(func() { <-r.t.dialSlots })
	timer := time.AfterFunc(r.t.cfg.DialSlotTimeout, end)
	return func() {
		timer.Stop()
		end()
	}
}

// dial makes one connection and waits for the peer's hello.
func (r *remote) dial() error {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	if address == "" {
		return eris.Wrapf(ErrNotConnected, "peer %s has no address", r.name)
	}
	if r.t.faults.drops(r.name) {
		return eris.Wrapf(ErrNotConnected, "peer %s at %s", r.name, address)
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return eris.Wrapf(err, "peer %s", r.name)
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.t.cfg.DialTimeout)
	defer cancel()
	q, err := r.t.quic.Dial(ctx, udp, r.t.cfg.Keys.PeerClient(ALPN, r.name), r.t.quicConfig())
	if err != nil {
		return eris.Wrapf(err, "peer %s at %s", r.name, address)
	}
	return r.awaitHello(ctx, r.start(q, "dialled"))
}

func (r *remote) awaitHello(ctx context.Context, c *conn) error {
	select {
	case <-c.ready:
		return nil
	case <-c.quic.Context().Done():
		return eris.Wrapf(context.Cause(c.quic.Context()), "peer %s", r.name)
	case <-ctx.Done():
		c.close(codeRefused, "no hello")
		return eris.Wrapf(ctx.Err(), "peer %s sent no hello", r.name)
	}
}
