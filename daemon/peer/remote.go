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

// remote is one peer: its connections and its outgoing queues.
type remote struct {
	t    *Transport
	name id.Daemon

	messages  *ring.Ring[*outgoing]
	datagrams *ring.Ring[*outgoing]
	// dialRequested requests a connection; changed signals a waiting dialler that
	// there is a new connection or address.
	dialRequested chan struct{}
	changed       chan struct{}

	ctx    context.Context
	cancel context.CancelFunc

	// backoff and nextDial are used only by the goroutine that dials.
	backoff  *backoff.ExponentialBackOff
	nextDial time.Time

	mu                    sync.Mutex
	address               string
	incarnation           id.Incarnation
	current               *conn
	conns                 map[*conn]struct{}
	waiters               []chan dialResult
	datagramSenderStarted bool

	// lastUsed is the time of the last send to the peer, in Unix nanoseconds.
	lastUsed atomic.Int64
}

// dialResult is sent to callers that wait for a connection.
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

// touch records the time at which something is sent to the peer.
func (r *remote) touch() { r.lastUsed.Store(time.Now().UnixNano()) }

// unusedSince reports whether the peer has no connection and no queued messages and
// was not used since cutoff.
func (r *remote) unusedSince(cutoff time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) == 0 && r.messages.Len() == 0 && r.lastUsed.Load() < cutoff.UnixNano()
}

// signal sends on a channel of capacity 1 without blocking.
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

// removable reports whether the peer was never set and has no connection.
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

// start serves a new QUIC connection. It is used for sending once the peer's hello
// has been received.
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

// helloReceived marks a connection as ready after the peer's hello. If it belongs
// to a newer process of the peer, the connections of older processes are closed.
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

// connEnded removes a connection that has ended and switches to another one of the
// same process, if there is one. A peer that was never set and has no connection
// left is removed.
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
