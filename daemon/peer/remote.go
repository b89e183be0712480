package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/ring"
)

// remote is one peer: its connections and what waits to be sent to it.
type remote struct {
	t    *Transport
	name id.Daemon

	messages  *ring.Ring[*outgoing]
	datagrams *ring.Ring[*outgoing]
	// wanted asks for a connection; changed tells a waiting dialler that a
	// connection or an address has come.
	dialRequested chan struct{}
	changed       chan struct{}

	ctx    context.Context
	cancel context.CancelFunc

	// backoff and notBefore belong to the goroutine that dials.
	backoff  *backoff.ExponentialBackOff
	nextDial time.Time

	mu                    sync.Mutex
	address               string
	incarnation           id.Incarnation
	current               *conn
	conns                 map[*conn]struct{}
	waiters               []chan dialResult
	datagramSenderStarted bool

	// usedAt is when something was last to be sent to the peer, in Unix
	// nanoseconds.
	lastUsed atomic.Int64
}

// outcome of waiting for a connection.
type dialResult struct {
	conn *conn
	err  error
}

func newRemote(t *Transport, name id.Daemon) *remote {
	r := &remote{
		t:             t,
		name:          name,
		messages:      ring.New[*outgoing]("peer_messages", t.cfg.RingSize, ring.Reject, nil),
		datagrams:     ring.New[*outgoing]("peer_datagrams", datagramRingSize, ring.DropOldest, nil),
		dialRequested: make(chan struct{}, 1),
		changed:       make(chan struct{}, 1),
		conns:         make(map[*conn]struct{}),
		backoff:       backoff.NewExponentialBackOff(),
	}
	r.backoff.InitialInterval = t.cfg.BackoffMin
	r.backoff.MaxInterval = t.cfg.BackoffMax
	r.ctx, r.cancel = context.WithCancel(t.ctx)
	r.touch()
	return r
}

// used notes that something is to be sent to the peer.
func (r *remote) touch() { r.lastUsed.Store(time.Now().UnixNano()) }

// unusedSince says whether the peer has no connection, and nothing was to be
// sent to it since then.
func (r *remote) unusedSince(then time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) == 0 && r.messages.Len() == 0 && r.lastUsed.Load() < then.UnixNano()
}

// signal leaves a token in a channel of size one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *remote) setAddress(address string) {
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	signal(r.changed)
}

func (r *remote) state() PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return PeerState{
		Process:   id.Process{Daemon: r.name, Incarnation: r.incarnation},
		Address:   r.address,
		Connected: r.liveLocked() != nil,
	}
}

// idle reports whether the peer came by itself and has no connection.
func (r *remote) removable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address == "" && len(r.conns) == 0
}

func (r *remote) stop(reason string) {
	r.cancel()
	r.mu.Lock()
	conns := make([]*conn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
	}
	r.mu.Unlock()
	for _, c := range conns {
		c.close(codeClosed, reason)
	}
}

// start serves a new QUIC connection; it is used for sending once the peer's
// hello has come.
func (r *remote) start(q *quic.Conn, origin string) *conn {
	c := &conn{remote: r, quic: q, origin: origin, ready: make(chan struct{})}
	t := r.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || r.ctx.Err() != nil {
		c.close(codeClosed, "closing")
		return c
	}
	t.conns[c] = struct{}{}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	t.wg.Go(c.serve)
	return c
}

// adopt takes a connection whose hello has come, and marks it ready. A newer process of the peer
// ends the connections of older ones.
func (r *remote) helloReceived(c *conn) {
	old := r.markReadyLocked(c)
	for _, o := range old {
		o.close(codeSuperseded, "a newer process of this daemon has connected")
	}
	signal(r.changed)
	r.t.cfg.Report("peer_connected", "peer", r.name, "incarnation", uint64(c.incarnation), "origin", c.origin)
}

func (r *remote) markReadyLocked(c *conn) []*conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(c.ready)
	var old []*conn
	if c.incarnation > r.incarnation {
		r.incarnation = c.incarnation
		for o := range r.conns {
			if o != c && isReady(o) {
				old = append(old, o)
			}
		}
		r.current = nil
	}
	if c.incarnation == r.incarnation && r.liveLocked() == nil {
		r.current = c
	}
	if r.current != nil {
		r.notifyWaitersLocked(dialResult{conn: r.current})
	}
	return old
}

func isReady(c *conn) bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

// lost forgets a connection that has ended and falls back on another one of
// the same process, if there is one. A peer that came by itself and has no
// connection left is forgotten.
func (r *remote) connEnded(c *conn, cause error) {
	r.mu.Lock()
	delete(r.conns, c)
	if r.current == c {
		r.current = r.findLiveLocked()
	}
	r.mu.Unlock()
	r.t.removeIfUnset(r)
	if isReady(c) {
		r.t.cfg.Report("peer_disconnected", "peer", r.name, "incarnation", uint64(c.incarnation), "cause", cause)
	}
}

func (r *remote) findLiveLocked() *conn {
	for c := range r.conns {
		if isReady(c) && c.alive() && c.incarnation == r.incarnation {
			return c
		}
	}
	return nil
}

func (r *remote) liveLocked() *conn {
	if r.current != nil && r.current.alive() {
		return r.current
	}
	return nil
}

func (r *remote) live() *conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.liveLocked()
}
