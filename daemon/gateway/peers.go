package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/peer"
)

// The kinds of messages between daemons.
const (
	kindBroker   peer.Kind = iota + 1 // one-way: broker.Envelope
	kindMember                        // datagram: member.Message
	kindEvidence                      // one-way: poison.State
	kindTables                        // call: nothing -> tablesReply
)

var kindNames = map[peer.Kind]string{
	kindBroker:   "broker",
	kindMember:   "member",
	kindEvidence: "evidence",
	kindTables:   "tables",
}

// tablesReply is what a daemon knows of the store's tables.
type tablesReply struct {
	States []feed.State `cbor:"1,keyasint"`
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
	// goneGrace is how long a dead daemon's grants stay reserved: its engines
	// notice its end by then.
	goneGrace = time.Second
	// behindFor is how long another daemon must know more of the store's tables
	// before this one asks: its own feed is seldom that much slower.
	behindFor = 250 * time.Millisecond
	// tablesTimeout bounds the question to another daemon.
	tablesTimeout = 400 * time.Millisecond
	// Bounds of the traffic between daemons; the memory that they may take
	// counts at nine and more daemons.
	peerRing       = 256
	peerCalls      = 32
	peerMaxMessage = 1 << 20
	peerKeepalive  = 2 * time.Second
	peerIdle       = 5 * time.Second
	peerDial       = time.Second
	peerBackoff    = 400 * time.Millisecond
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
	return cfg
}

func (d *Daemon) peerConfig(f *fleet, material *keys.Store, wired <-chan struct{}) peer.Config {
	return peer.Config{
		Self:        f.self,
		Listen:      d.set.Listen.Peers,
		Keys:        material,
		Handler:     &peerHandler{d: d, f: f, wired: wired},
		KindName:    func(k peer.Kind) string { return kindNames[k] },
		Registry:    d.metrics,
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
	d     *Daemon
	f     *fleet
	wired <-chan struct{}
}

func (h *peerHandler) open() bool {
	select {
	case <-h.wired:
		return true
	default:
		return false
	}
}

// HandleOneWay implements peer.Handler.
func (h *peerHandler) HandleOneWay(from id.Daemon, kind peer.Kind, body []byte) {
	if !h.open() {
		return
	}
	switch kind {
	case kindBroker:
		var e broker.Envelope
		if h.decode(from, body, &e) {
			h.f.broker.Receive(from, &e)
		}
	case kindEvidence:
		var s poison.State
		if h.decode(from, body, &s) {
			h.f.broker.MergeEvidence(s)
		}
	case kindMember:
		h.member(from, body)
	}
}

// HandleDatagram implements peer.Handler.
func (h *peerHandler) HandleDatagram(from id.Daemon, kind peer.Kind, body []byte) {
	if h.open() && kind == kindMember {
		h.member(from, body)
	}
}

// member takes a membership message; the sender must be who it says.
func (h *peerHandler) member(from id.Daemon, body []byte) {
	var m member.Message
	if !h.decode(from, body, &m) {
		return
	}
	if m.From.Process.Daemon != from {
		h.d.logger.Warn("peer_message_refused", "from", from, "says", m.From.Process.Daemon)
		return
	}
	h.f.members.Receive(m)
}

func (h *peerHandler) decode(from id.Daemon, body []byte, msg any) bool {
	if err := peer.Decode(body, msg); err != nil {
		h.d.logger.Warn("peer_message_refused", "from", from, "why", err)
		return false
	}
	return true
}

// HandleCall implements peer.Handler.
func (h *peerHandler) HandleCall(_ context.Context, from id.Daemon, kind peer.Kind, _ []byte) ([]byte, error) {
	if !h.open() || kind != kindTables {
		return nil, eris.Errorf("no answer to a call of kind %d from %s", kind, from)
	}
	return peer.Encode(&tablesReply{States: h.d.tableStates()})
}

// brokerSender implements broker.Sender.
type brokerSender struct{ f *fleet }

// SendBroker implements broker.Sender.
func (s brokerSender) SendBroker(to id.Daemon, e *broker.Envelope) error {
	return s.f.transport.Send(to, kindBroker, e)
}

// memberSender implements members.Sender.
type memberSender struct{ f *fleet }

// SendMember implements members.Sender. A message too large for a datagram
// goes by the one-way stream.
func (s memberSender) SendMember(to id.Daemon, address string, m *member.Message) {
	if address != "" {
		if err := s.f.transport.SetPeer(to, address); err != nil {
			return
		}
	}
	err := s.f.transport.Datagram(to, kindMember, m)
	if eris.Is(err, peer.ErrTooLarge) {
		// Membership messages are repeated: a lost one needs no handling.
		_ = s.f.transport.Send(to, kindMember, m)
	}
}

// spreadEvidence sends new evidence to the other daemons.
func (f *fleet) spreadEvidence(s poison.State) {
	for _, e := range f.members.Entries() {
		if e.Process.Daemon != f.self.Daemon && e.State != member.Dead {
			// Evidence that is lost comes again with the next crash.
			_ = f.transport.Send(e.Process.Daemon, kindEvidence, &s)
		}
	}
}
