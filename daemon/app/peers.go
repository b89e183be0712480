package app

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/claims"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/peer"
)

// The kinds of messages between daemons.
const (
	kindBroker   peer.Kind = iota + 1 // one-way: broker.Envelope
	kindMember                        // datagram: member.Message
	kindConfig                        // call: revision.Fetch -> revision.FetchReply
	kindEvidence                      // one-way: poison.State
	kindExplain                       // call: explainQuery -> opapi.Explanation
	kindPools                         // call: nothing -> poolsReply
	kindClaim                         // call: claims.BeginCall -> claims.BeginReply
	kindOutcome                       // call: claims.FinishCall -> claims.FinishReply
	kindRecord                        // call: revision.Record -> recordReply
)

// kindNames name the kinds in metrics.
var kindNames = map[peer.Kind]string{
	kindBroker:   "broker",
	kindMember:   "member",
	kindConfig:   "config",
	kindEvidence: "evidence",
	kindExplain:  "explain",
	kindPools:    "pools",
	kindClaim:    "claim",
	kindOutcome:  "outcome",
	kindRecord:   "record",
}

func kindName(k peer.Kind) string { return kindNames[k] }

// peerCallTimeout bounds a question to another daemon.
const peerCallTimeout = time.Second

type explainQuery struct {
	Kind string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
}

type poolsQuery struct{}

type poolsReply struct {
	Pools      []opapi.PoolStatus      `cbor:"1,keyasint"`
	Quarantine []opapi.QuarantineEntry `cbor:"2,keyasint"`
}

// peerHandler takes what other daemons send.
type peerHandler struct{ d *Daemon }

func (h *peerHandler) open() bool {
	select {
	case <-h.d.wired:
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
			h.d.broker.Receive(from, &e)
		}
	case kindEvidence:
		var s poison.State
		if h.decode(from, body, &s) {
			h.d.broker.MergeEvidence(s)
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
	h.d.members.Receive(m)
}

func (h *peerHandler) decode(from id.Daemon, body []byte, msg any) bool {
	if err := peer.Decode(body, msg); err != nil {
		h.d.logger.Warn("peer_message_refused", "from", from, "err", err)
		return false
	}
	return true
}

// HandleCall implements peer.Handler.
func (h *peerHandler) HandleCall(ctx context.Context, from id.Daemon, kind peer.Kind, body []byte) ([]byte, error) {
	if !h.open() {
		return nil, eris.New("the daemon is starting")
	}
	switch kind {
	case kindConfig:
		var q revision.Fetch
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		reply, ok := h.d.configs.Serve(q)
		if !ok {
			return nil, eris.New("the daemon is stopping")
		}
		return peer.Encode(&reply)
	case kindExplain:
		var q explainQuery
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		return peer.Encode(h.d.explainLocal(q))
	case kindRecord:
		var r revision.Record
		if err := peer.Decode(body, &r); err != nil {
			return nil, err
		}
		return peer.Encode(&recordReply{Learnt: h.d.configs.Learn(r)})
	case kindPools:
		return peer.Encode(h.d.poolsLocal())
	case kindClaim:
		var call claims.BeginCall
		if err := peer.Decode(body, &call); err != nil {
			return nil, err
		}
		reply := h.d.claims.HandleBegin(ctx, from, &call)
		return peer.Encode(&reply)
	case kindOutcome:
		var call claims.FinishCall
		if err := peer.Decode(body, &call); err != nil {
			return nil, err
		}
		reply := h.d.claims.HandleFinish(ctx, from, &call)
		return peer.Encode(&reply)
	default:
		return nil, eris.Errorf("unknown kind of call %d from %s", kind, from)
	}
}

// brokerSender implements broker.Sender.
type brokerSender struct{ d *Daemon }

// SendBroker implements broker.Sender.
func (s brokerSender) SendBroker(to id.Daemon, e *broker.Envelope) error {
	return s.d.transport.Send(to, kindBroker, e)
}

// memberSender implements members.Sender.
type memberSender struct{ d *Daemon }

// SendMember implements members.Sender. A message too large for a datagram
// goes by the one-way stream.
func (s memberSender) SendMember(to id.Daemon, address string, m *member.Message) {
	if address != "" {
		if err := s.d.transport.SetPeer(to, address); err != nil {
			return
		}
	}
	err := s.d.transport.Datagram(to, kindMember, m)
	if eris.Is(err, peer.ErrTooLarge) {
		_ = s.d.transport.Send(to, kindMember, m)
	}
}

// spreadEvidence sends new evidence to the live daemons.
func (d *Daemon) spreadEvidence(s poison.State) {
	for _, to := range d.others() {
		_ = d.transport.Send(to, kindEvidence, &s)
	}
}

// claimWriters implements claims.Writers over the transport.
type claimWriters struct{ d *Daemon }

// Begin implements claims.Writers.
func (w claimWriters) Begin(ctx context.Context, to id.Daemon, call *claims.BeginCall) (claims.BeginReply, error) {
	var reply claims.BeginReply
	err := w.d.transport.Call(ctx, to, kindClaim, call, &reply)
	return reply, err
}

// Finish implements claims.Writers.
func (w claimWriters) Finish(ctx context.Context, to id.Daemon, call *claims.FinishCall) (claims.FinishReply, error) {
	var reply claims.FinishReply
	err := w.d.transport.Call(ctx, to, kindOutcome, call, &reply)
	return reply, err
}

// peerFetcher implements configs.Peers.
type peerFetcher struct{ d *Daemon }

// FetchConfig implements configs.Peers.
func (f peerFetcher) FetchConfig(ctx context.Context, q revision.Fetch) (revision.FetchReply, error) {
	var reply revision.FetchReply
	err := f.d.transport.Call(ctx, q.Peer, kindConfig, &q, &reply)
	return reply, err
}
