package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/ratelimit"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/link"
	"github.com/samphirequay/samphirequay/daemon/origins"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// The kinds of messages that only this package uses.
const (
	// kindTables queries a daemon for its states of the store's tables: a call,
	// tablesQuery -> tablesReply.
	kindTables = link.FirstFree + iota
	// kindNews carries changes of the store's tables: one-way, tableNews.
	kindNews
	// kindProof carries a proof of the configuration's freshness: datagram,
	// freshness.Proof.
	kindProof
	// kindUptime queries a daemon for the store's uptime: a call, uptimeQuery ->
	// storeStatus.
	kindUptime
	// kindLimit carries a rate limit that an endpoint names: one-way, ratelimit.Named.
	kindLimit
	// kindOrigins carries records of what began streams: one-way, origins.Batch.
	kindOrigins
	// kindOriginQuery asks a daemon what began a stream: a call, origins.Query ->
	// origins.Reply.
	kindOriginQuery
	// kindOriginPlace carries records of what began streams and is answered once they are
	// kept: a call, origins.Batch -> nothing.
	kindOriginPlace
	// kindLeaving carries an endpoint's own word that it leaves: one-way, leavingNews.
	kindLeaving
	// kindConfig asks a daemon for the configuration that it has in force: a call,
	// configQuery -> configReply.
	kindConfig
)

var kindNames = map[peer.Kind]string{
	kindTables: "tables", kindNews: "news", kindProof: "proof", kindUptime: "uptime", kindLimit: "limit",
	kindOrigins: "origins", kindOriginQuery: "origin_query", kindOriginPlace: "origin_place",
	kindLeaving: "leaving", kindConfig: "config",
}

// tablesReply holds a daemon's states of the store's tables.
type tablesReply struct {
	States []feed.State `cbor:"1,keyasint"`
	// Store is the store's status as the daemon knows it.
	Store storeStatus `cbor:"2,keyasint"`
	// Restored holds the states of a store that has come back from an older copy. Earlier
	// releases don't know the field: they would take the versions for the store's numbers.
	Restored []feed.State `cbor:"3,keyasint,omitempty"`
}

// newTablesReply returns the reply with these states.
func newTablesReply(states []feed.State, status storeStatus) *tablesReply {
	r := &tablesReply{Store: status}
	for _, s := range states {
		if table.Era(s.Position) > 0 {
			r.Restored = append(r.Restored, s)
		} else {
			r.States = append(r.States, s)
		}
	}
	return r
}

// all returns the states of all tables.
func (r *tablesReply) all() []feed.State { return slices.Concat(r.States, r.Restored) }

// tablesQuery has no parameters.
type tablesQuery struct{}

const (
	// memberPeriod, memberSuspect, memberDead and memberStall set the membership's
	// heartbeats and its failure detection.
	memberPeriod  = 400 * time.Millisecond
	memberSuspect = 1300 * time.Millisecond
	memberDead    = 2500 * time.Millisecond
	memberStall   = 600 * time.Millisecond
	// watchedPeriod, watchedSuspect and watchedDead replace them for the owners of
	// pools. A pool gets no grants while its owner is silent, so the silence must be
	// detected well within the time for which callers wait for a first event.
	watchedPeriod  = 120 * time.Millisecond
	watchedSuspect = 390 * time.Millisecond
	watchedDead    = 1500 * time.Millisecond
	// maxHeartbeats bounds the heartbeats per second of a daemon in a small fleet,
	// maxWatchedHeartbeats those of an owner of pools in a fleet of any size. If
	// there would be more, the period grows.
	maxHeartbeats        = 60
	maxWatchedHeartbeats = 600
	// maxMeshPeers is the largest number of other daemons at which all exchange
	// heartbeats with all: maxHeartbeats allows one to each every memberPeriod.
	maxMeshPeers = 24
	// goneGrace is how long a dead daemon's grants stay reserved. By then its engines
	// have noticed that it is gone.
	goneGrace = time.Second
	// catchUpDelay is how long another daemon must have a newer revision of the
	// store's tables before this one catches up. Its own feed is rarely that much
	// slower.
	catchUpDelay = 250 * time.Millisecond
	// maxCatchUpAttempts and maxCatchUpPause bound the attempts to catch up. By the
	// last attempt the store's feed has ended a call and started another.
	maxCatchUpAttempts = 8
	maxCatchUpPause    = 2 * time.Second
	// tablesTimeout bounds a call to another daemon.
	tablesTimeout = 400 * time.Millisecond
	// Bounds on the traffic between daemons: queued messages per peer, concurrent
	// calls, and the bytes of a message. The memory that they allow matters with nine
	// or more daemons.
	peerRing       = 256
	peerCalls      = 32
	peerMaxMessage = 1 << 20
	// Keepalives are disabled: heartbeats keep the needed connections open, and the
	// other connections reach the idle timeout.
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
	cfg.MaxHeartbeatsPerSecond = maxHeartbeats
	cfg.MaxWatchedHeartbeatsPerSecond = maxWatchedHeartbeats
	cfg.MaxMeshPeers = maxMeshPeers
	return cfg
}

func (d *Daemon) peerConfig(f *fleet, material *keys.Store, ready <-chan struct{}) peer.Config {
	return peer.Config{
		Self:        f.self,
		Listen:      d.set.Listen.Peers,
		WrapSocket:  d.opts.WrapPeerSocket,
		Keys:        material,
		Handler:     &peerHandler{Handler: link.Handler{Receiver: receiver{d, f}, Ready: ready}, d: d},
		KindName:    link.KindName(kindNames),
		Registry:    d.metrics,
		Address:     func(name id.Daemon) string { return f.members.Address(name) },
		Report:      d.logger.Event,
		RingSize:    peerRing,
		CallWorkers: peerCalls,
		MaxMessage:  peerMaxMessage,
		Lost:        func(err error) { d.listenerEnded(listenPeers, err) },
		OpenTarget:  d.serveTunnel,
		MaxTunnels:  maxTunnels,
		Keepalive:   peerKeepalive,
		IdleTimeout: peerIdle,
		DialTimeout: peerDial,
		BackoffMax:  peerBackoff,
	}
}

// peerHandler handles the messages from other daemons: those of this package itself,
// the others through link.Handler.
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
	r.d.learnConfigVersion(m.From.Process.Daemon, m.ConfigVersion)
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
func (h *peerHandler) HandleCall(ctx context.Context, from id.Daemon, kind peer.Kind, body []byte) ([]byte, error) {
	var q uptimeQuery
	var stream origins.Query
	var records origins.Batch
	var config configQuery
	switch {
	case !h.Accepting():
	case kind == link.KindEvidenceQuery:
		return link.AnswerEvidence(h.d.fleet.Load().evidence, body)
	case kind == kindTables:
		return peer.Encode(newTablesReply(h.d.tableStates(), *h.d.storeStatus()))
	case kind == kindUptime && h.decode(from, body, &q):
		return peer.Encode(h.d.answerUptime(q))
	case kind == kindConfig && h.decode(from, body, &config):
		return peer.Encode(h.d.answerConfig(config))
	case kind == kindOriginQuery && h.decode(from, body, &stream):
		return peer.Encode(h.d.origins.Answer(ctx, &stream))
	case kind == kindOriginPlace && h.decode(from, body, &records):
		h.d.origins.Receive(&records)
		return nil, nil
	}
	return nil, eris.Errorf("no answer to a call of kind %d from %s", kind, from)
}

// HandleOneWay implements peer.Handler.
func (h *peerHandler) HandleOneWay(from id.Daemon, kind peer.Kind, body []byte) {
	switch kind {
	case kindNews:
		var n tableNews
		if h.decode(from, body, &n) {
			h.d.handleNews(from, n)
		}
	case kindLimit:
		var n ratelimit.Named
		if h.decode(from, body, &n) {
			h.d.learnLimit(n)
		}
	case kindLeaving:
		var n leavingNews
		if h.decode(from, body, &n) {
			h.d.learnLeaving(from, n)
		}
	case kindOrigins:
		var b origins.Batch
		if h.decode(from, body, &b) {
			h.d.origins.Receive(&b)
		}
	default:
		h.Handler.HandleOneWay(from, kind, body)
	}
}

// HandleDatagram implements peer.Handler.
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

// decode decodes a message of this package. It returns false if the daemon does not
// accept messages yet, or if the message is invalid, which is logged.
func (h *peerHandler) decode(from id.Daemon, body []byte, msg any) bool {
	if !h.Accepting() {
		return false
	}
	if err := peer.Decode(body, msg); err != nil {
		h.Receiver.Refused(from, err)
		return false
	}
	return true
}

// links returns the sender of the messages of package link.
func (f *fleet) links() link.Sender { return link.Sender{Transport: f.transport} }

// sendAll sends a message to all other daemons. Errors are ignored: a daemon that the
// message does not reach learns from heartbeats that it has missed something.
func (f *fleet) sendAll(kind peer.Kind, msg any) {
	for _, other := range f.members.Others() {
		_ = f.transport.Send(other, kind, msg)
	}
}
