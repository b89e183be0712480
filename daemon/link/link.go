// Package link defines the messages that the daemons of every fleet exchange over
// the peer transport: messages about pools, membership messages, messages about
// teams' limits, and evidence about requests that crash endpoints.
package link

import (
	"context"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/evidence"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// Kinds of messages in this package.
const (
	KindBroker        peer.Kind = iota + 1 // one-way: broker.Envelope
	KindMember                             // datagram: member.Message
	KindEvidence                           // one-way: poison.State
	KindQuota                              // one-way: quotas.Envelope
	KindEvidenceQuery                      // call: evidence.Query -> evidence.Reply
	// FirstFree is the first kind that other packages may use.
	FirstFree peer.Kind = 16
)

// kindNames holds the names of the kinds in metrics.
var kindNames = map[peer.Kind]string{
	KindBroker:        "broker",
	KindMember:        "member",
	KindEvidence:      "evidence",
	KindQuota:         "quota",
	KindEvidenceQuery: "evidence_query",
}

// KindName returns a function that returns the name of a kind in metrics. The names
// of kinds from FirstFree on are taken from others.
func KindName(others map[peer.Kind]string) func(peer.Kind) string {
	return func(k peer.Kind) string {
		if name, ok := kindNames[k]; ok {
			return name
		}
		return others[k]
	}
}

// Receiver handles the messages of other daemons.
type Receiver interface {
	// Broker handles a message about a pool.
	Broker(from id.Daemon, e *broker.Envelope)
	// Member handles a membership message.
	Member(m member.Message)
	// Evidence handles evidence about requests that crash endpoints.
	Evidence(s poison.State)
	// Quota handles a message about teams' limits.
	Quota(from id.Daemon, e *quotas.Envelope)
	// Refused is called for a message that is rejected because it cannot be decoded
	// or names another sender.
	Refused(from id.Daemon, cause error)
}

// Handler decodes messages and passes them to a Receiver once the daemon is fully
// initialised.
type Handler struct {
	Receiver Receiver
	// Ready is closed once the Receiver is ready; messages are dropped until then.
	Ready <-chan struct{}
}

// Accepting reports whether messages are passed on.
func (h *Handler) Accepting() bool {
	select {
	case <-h.Ready:
		return true
	default:
		return false
	}
}

// HandleOneWay implements the method of peer.Handler.
func (h *Handler) HandleOneWay(from id.Daemon, kind peer.Kind, body []byte) {
	if !h.Accepting() {
		return
	}
	switch kind {
	case KindBroker:
		var e broker.Envelope
		if h.decode(from, body, &e) {
			h.Receiver.Broker(from, &e)
		}
	case KindEvidence:
		var s poison.State
		if h.decode(from, body, &s) {
			h.Receiver.Evidence(s)
		}
	case KindQuota:
		var e quotas.Envelope
		if h.decode(from, body, &e) {
			h.Receiver.Quota(from, &e)
		}
	case KindMember:
		h.receiveMember(from, body)
	}
}

// HandleDatagram implements the method of peer.Handler.
func (h *Handler) HandleDatagram(from id.Daemon, kind peer.Kind, body []byte) {
	if h.Accepting() && kind == KindMember {
		h.receiveMember(from, body)
	}
}

// receiveMember handles a membership message. Its From field must name the daemon
// that sent it.
func (h *Handler) receiveMember(from id.Daemon, body []byte) {
	var m member.Message
	if !h.decode(from, body, &m) {
		return
	}
	if m.From.Process.Daemon != from {
		h.Receiver.Refused(from, eris.Errorf("membership message names daemon %s as its sender", m.From.Process.Daemon))
		return
	}
	h.Receiver.Member(m)
}

func (h *Handler) decode(from id.Daemon, body []byte, msg any) bool {
	if err := peer.Decode(body, msg); err != nil {
		h.Receiver.Refused(from, err)
		return false
	}
	return true
}

// AnswerEvidence answers a call of KindEvidenceQuery.
func AnswerEvidence(s *evidence.Syncer, body []byte) ([]byte, error) {
	var q evidence.Query
	if err := peer.Decode(body, &q); err != nil {
		return nil, err
	}
	return peer.Encode(s.Answer(q))
}

// Sender sends messages to other daemons.
type Sender struct{ Transport *peer.Transport }

// SendBroker implements broker.Sender.
func (s Sender) SendBroker(to id.Daemon, e *broker.Envelope) error {
	return s.Transport.Send(to, KindBroker, e)
}

// SendQuota sends a message about teams' limits; it can be used as the send
// function of quotas.Config.
func (s Sender) SendQuota(to id.Daemon, e *quotas.Envelope) error {
	return s.Transport.Send(to, KindQuota, e)
}

// SendMember implements members.Sender. A message that is too large for a datagram
// is sent as a one-way message. Errors are ignored because the membership repeats
// its messages.
func (s Sender) SendMember(to id.Daemon, address string, m *member.Message) {
	if address != "" {
		if err := s.Transport.SetPeer(to, address); err != nil {
			return
		}
	}
	err := s.Transport.Datagram(to, KindMember, m)
	if eris.Is(err, peer.ErrTooLarge) {
		_ = s.Transport.Send(to, KindMember, m)
	}
}

// evidenceFanout is the number of daemons to which received evidence is relayed.
// The original sender sends it to all daemons; relaying reaches those that missed
// it.
const evidenceFanout = 2

// RelayEvidence sends evidence to a few randomly selected daemons among the given
// ones. It reorders among.
func (s Sender) RelayEvidence(among []id.Daemon, state poison.State) {
	rand.Shuffle(len(among), func(i, j int) { among[i], among[j] = among[j], among[i] })
	s.SendEvidence(among[:min(evidenceFanout, len(among))], state)
}

// SendEvidence sends evidence to the given daemons. Errors are ignored because lost
// evidence is sent again with the next crash.
func (s Sender) SendEvidence(to []id.Daemon, state poison.State) {
	for _, d := range to {
		_ = s.Transport.Send(d, KindEvidence, &state)
	}
}

// AskEvidence asks a daemon for its evidence; it can be used as evidence.Config.Ask.
func (s Sender) AskEvidence(ctx context.Context, to id.Daemon, q *evidence.Query) (*evidence.Reply, error) {
	var r evidence.Reply
	if err := s.Transport.Call(ctx, to, KindEvidenceQuery, q, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
