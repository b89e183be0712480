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
	"github.com/samphirequay/samphirequay/daemon/link"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// The kinds of messages between daemons.
const (
	kindConfig  = link.FirstFree + iota // call: revision.Fetch -> revision.FetchReply
	kindExplain                         // call: explainQuery -> opapi.Explanation
	kindPools                           // call: nothing -> poolsReply
	kindClaim                           // call: claims.BeginCall -> claims.BeginReply
	kindOutcome                         // call: claims.FinishCall -> claims.FinishReply
	kindRecord                          // call: revision.Record -> recordReply
)

// kindNames name the kinds in metrics.
var kindNames = map[peer.Kind]string{
	kindConfig:  "config",
	kindExplain: "explain",
	kindPools:   "pools",
	kindClaim:   "claim",
	kindOutcome: "outcome",
	kindRecord:  "record",
}

// peerCallTimeout bounds a call to other daemons.
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

// peerHandler handles messages and calls from other daemons.
type peerHandler struct {
	link.Handler
	d *Daemon
}

func newPeerHandler(d *Daemon) *peerHandler {
	return &peerHandler{Handler: link.Handler{Receiver: receiver{d}, Ready: d.started}, d: d}
}

// receiver implements link.Receiver.
type receiver struct{ d *Daemon }

// Broker implements link.Receiver.
func (r receiver) Broker(from id.Daemon, e *broker.Envelope) { r.d.broker.Receive(from, e) }

// Member implements link.Receiver.
func (r receiver) Member(m member.Message) { r.d.members.Receive(m) }

// Evidence implements link.Receiver.
func (r receiver) Evidence(s poison.State) { r.d.broker.MergeEvidence(s) }

// Quota implements link.Receiver.
func (r receiver) Quota(from id.Daemon, e *quotas.Envelope) { r.d.quotas.Receive(from, e) }

// Refused implements link.Receiver.
func (r receiver) Refused(from id.Daemon, err error) {
	r.d.logger.Warn("peer_message_refused", "from", from, "err", err)
}

// HandleCall implements peer.Handler.
func (h *peerHandler) HandleCall(ctx context.Context, from id.Daemon, kind peer.Kind, body []byte) ([]byte, error) {
	if !h.Accepting() {
		return nil, eris.New("the daemon is starting")
	}
	switch kind {
	case link.KindEvidenceQuery:
		return link.AnswerEvidence(h.d.evidence, body)
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
		return peer.Encode(&recordReply{Applied: h.d.configs.Record(r)})
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

// peerSender returns the sender of messages to other daemons.
func (d *Daemon) peerSender() link.Sender { return link.Sender{Transport: d.transport} }

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

// peerFetcher implements configs.Peers over the transport.
type peerFetcher struct{ d *Daemon }

// FetchConfig implements configs.Peers.
func (f peerFetcher) FetchConfig(ctx context.Context, q revision.Fetch) (revision.FetchReply, error) {
	var reply revision.FetchReply
	err := f.d.transport.Call(ctx, q.Peer, kindConfig, &q, &reply)
	return reply, err
}
