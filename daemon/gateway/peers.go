package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/link"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// The kinds of messages that only this daemon has.
const (
	// kindTables asks a daemon what it knows of the store's tables: a call,
	// nothing -> tablesReply.
	kindTables = link.FirstFree + iota
	// kindNews tells of changes of the store's tables: one-way, tableNews.
	kindNews
	// kindProof tells how fresh the configuration is: datagram, freshness.Proof.
	kindProof
	// kindUptime asks a daemon when the store answered it: a call, uptimeQuery ->
	// storeStatus.
	kindUptime
)

var kindNames = map[peer.Kind]string{kindTables: "tables", kindNews: "news", kindProof: "proof", kindUptime: "uptime"}

// tablesReply is what a daemon knows of the store's tables.
type tablesReply struct {
	States []feed.State `cbor:"1,keyasint"`
	// Store is what the daemon knows of the store's own state.
	Store storeStatus `cbor:"2,keyasint"`
}

type tablesQuery struct{}

const (
	// memberPeriod, memberSuspect and memberDead set the heartbeats.
	memberPeriod  = 400 * time.Millisecond
	memberSuspect = 1300 * time.Millisecond
	memberDead    = 2500 * time.Millisecond
	memberStall   = 600 * time.Millisecond
	// watchedPeriod, watchedSuspect and watchedDead are those of the owners of
	// pools: a pool whose owner is silent gets no grants, so that its silence
	// is noticed well within the time that callers wait for a first event.
	watchedPeriod  = 120 * time.Millisecond
	watchedSuspect = 390 * time.Millisecond
	watchedDead    = 1500 * time.Millisecond
	// mostHeartbeats is how many heartbeats a daemon of a small fleet sends in a
	// second at most, mostWatched an owner of pools in a fleet of any size: where
	// they would be more, they come less often.
	maxHeartbeats        = 60
	maxWatchedHeartbeats = 600
	// meshUpTo is up to how many other daemons all exchange heartbeats with all:
	// as many as get one every memberPeriod within mostHeartbeats.
	meshUpTo = 24
	// goneGrace is how long a dead daemon's grants stay reserved: its engines
	// notice its end by then.
	goneGrace = time.Second
	// behindFor is how long another daemon must know more of the store's tables
	// before this one asks: its own feed is seldom that much slower.
	catchUpDelay = 250 * time.Millisecond
	// mostPursued and mostPursuitPause bound the attempts to learn what other
	// daemons know more: by then the store's feed has ended a call and begun anew.
	maxCatchUpAttempts = 8
	maxCatchUpPause    = 2 * time.Second
	// tablesTimeout bounds the question to another daemon.
	tablesTimeout = 400 * time.Millisecond
	// Bounds of the traffic between daemons; the memory that they may take
	// counts at nine and more daemons.
	peerRing       = 256
	peerCalls      = 32
	peerMaxMessage = 1 << 20
	// Heartbeats keep the connections that are needed alive; the others end.
	peerKeepalive = -1
	peerIdle      = 5 * time.Second
	peerDial      = time.Second
	peerBackoff   = 400 * time.Millisecond
)

func memberConfig() member.Config {
	cfg := member.DefaultConfig(member.Mesh)
	cfg.Period = memberPeriod
	cfg.SuspectAfter = memberSuspect
	cfg.DeadAfter = memberDead
	cfg.StallAfter = memberStall
	cfg.WatchedPeriod = watchedPeriod
	cfg.WatchedSuspect = watchedSuspect
	cfg.WatchedDead = watchedDead
	cfg.MostSent = maxHeartbeats
	cfg.MostWatched = maxWatchedHeartbeats
	cfg.MeshUpTo = meshUpTo
	return cfg
}

func (d *Daemon) peerConfig(f *fleet, material *keys.Store, wired <-chan struct{}) peer.Config {
	return peer.Config{
		Self:        f.self,
		Listen:      d.set.Listen.Peers,
		Keys:        material,
		Handler:     &peerHandler{Handler: link.Handler{Receiver: receiver{d, f}, Wired: wired}, d: d},
		KindName:    link.KindName(kindNames),
		Registry:    d.metrics,
		Address:     func(name id.Daemon) string { return f.members.Address(name) },
		Report:      d.logger.Event,
		RingSize:    peerRing,
		CallWorkers: peerCalls,
		MaxMessage:  peerMaxMessage,
		Keepalive:   peerKeepalive,
		IdleTimeout: peerIdle,
		DialTimeout: peerDial,
		BackoffMax:  peerBackoff,
	}
}

// peerHandler takes what other daemons send.
type peerHandler struct {
	link.Handler
	d *Daemon
}

// receiver implements link.Receiver.
type receiver struct {
	d *Daemon
	f *fleet
}

// Broker implements link.Receiver.
func (r receiver) Broker(from id.Daemon, e *broker.Envelope) { r.f.broker.Receive(from, e) }

// Member implements link.Receiver.
func (r receiver) Member(m member.Message) {
	if m.Proof != nil {
		r.d.learnProof(*m.Proof)
	}
	r.f.members.Receive(m)
}

// Evidence implements link.Receiver.
func (r receiver) Evidence(s poison.State) {
	if r.f.broker.MergeEvidence(s) {
		r.d.logger.Routine("evidence_learnt", "breaks", len(s.Crashes), "cleared", len(s.Cleared))
	}
}

// Quota implements link.Receiver.
func (r receiver) Quota(from id.Daemon, e *quotas.Envelope) { r.f.quotas.Receive(from, e) }

// Refused implements link.Receiver.
func (r receiver) Refused(from id.Daemon, why error) {
	r.d.logger.Warn("peer_message_refused", "from", from, "why", why)
}

// HandleCall implements peer.Handler.
func (h *peerHandler) HandleCall(_ context.Context, from id.Daemon, kind peer.Kind, body []byte) ([]byte, error) {
	var q uptimeQuery
	switch {
	case !h.Open():
	case kind == kindTables:
		return peer.Encode(&tablesReply{States: h.d.tableStates(), Store: *h.d.storeStatus()})
	case kind == kindUptime && h.decode(from, body, &q):
		return peer.Encode(h.d.answerUptime(q))
	}
	return nil, eris.Errorf("no answer to a call of kind %d from %s", kind, from)
}

// HandleOneWay implements that method of peer.Handler.
func (h *peerHandler) HandleOneWay(from id.Daemon, kind peer.Kind, body []byte) {
	if kind != kindNews {
		h.Handler.HandleOneWay(from, kind, body)
		return
	}
	var n tableNews
	if h.decode(from, body, &n) {
		h.d.handleNews(from, n)
	}
}

// HandleDatagram implements that method of peer.Handler.
func (h *peerHandler) HandleDatagram(from id.Daemon, kind peer.Kind, body []byte) {
	if kind != kindProof {
		h.Handler.HandleDatagram(from, kind, body)
		return
	}
	var p freshness.Proof
	if h.decode(from, body, &p) {
		h.d.learnProof(p)
	}
}

// decode reads a message of this package; it says false for one that can't be
// taken, now or ever.
func (h *peerHandler) decode(from id.Daemon, body []byte, msg any) bool {
	if !h.Open() {
		return false
	}
	if err := peer.Decode(body, msg); err != nil {
		h.Receiver.Refused(from, err)
		return false
	}
	return true
}

// links sends messages to other daemons.
func (f *fleet) links() link.Sender { return link.Sender{Transport: f.transport} }

// sendAll sends a message to all other daemons. One that it can't be sent to
// learns by heartbeats that it has missed something.
func (f *fleet) sendAll(kind peer.Kind, msg any) {
	for _, other := range f.members.Others() {
		_ = f.transport.Send(other, kind, msg)
	}
}
