// Package link carries the messages that every fleet of daemons exchanges, over
// the peers' transport: those of pools, of the membership, of teams' limits, and
// evidence about requests that crash endpoints.
package link

import (
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// The kinds of messages that this package carries.
const (
	KindBroker   peer.Kind = iota + 1 // one-way: broker.Envelope
	KindMember                        // datagram: member.Message
	KindEvidence                      // one-way: poison.State
	KindQuota                         // one-way: quotas.Envelope
	// FirstFree is the first kind for other messages.
	FirstFree peer.Kind = 16
)

// kindNames name the kinds in metrics.
var kindNames = map[peer.Kind]string{
	KindBroker:   "broker",
	KindMember:   "member",
	KindEvidence: "evidence",
	KindQuota:    "quota",
}

// KindName names a kind in metrics; others names those from FirstFree on.
func KindName(others map[peer.Kind]string) func(peer.Kind) string {
	return func(k peer.Kind) string {
		if name, ok := kindNames[k]; ok {
			return name
		}
		return others[k]
	}
}

// Receiver takes the messages of other daemons.
type Receiver interface {
	// Broker takes a message about a pool.
	Broker(from id.Daemon, e *broker.Envelope)
	// Member takes a message of the membership.
	Member(m member.Message)
	// Evidence takes evidence about requests that crash endpoints.
	Evidence(s poison.State)
	// Quota takes a message about teams' limits.
	Quota(from id.Daemon, e *quotas.Envelope)
	// Refused is told of a message that can't be taken.
	Refused(from id.Daemon, why error)
}

// Handler passes messages on to a Receiver once the daemon is put together.
type Handler struct {
	Receiver Receiver
	// Wired is closed once messages may be passed on; until then they are dropped.
	Wired <-chan struct{}
}

// Open says whether messages are passed on.
func (h *Handler) Open() bool {
	select {
	case <-h.Wired:
		return true
	default:
		return false
	}
}

// HandleOneWay implements that method of peer.Handler.
func (h *Handler) HandleOneWay(from id.Daemon, kind peer.Kind, body []byte) {
	if !h.Open() {
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

// HandleDatagram implements that method of peer.Handler.
func (h *Handler) HandleDatagram(from id.Daemon, kind peer.Kind, body []byte) {
	if h.Open() && kind == KindMember {
		h.receiveMember(from, body)
	}
}

// member takes a membership message; the sender must be who it says.
func (h *Handler) receiveMember(from id.Daemon, body []byte) {
	var m member.Message
	if !h.decode(from, body, &m) {
		return
	}
	if m.From.Process.Daemon != from {
		h.Receiver.Refused(from, eris.Errorf("it says that it is %s", m.From.Process.Daemon))
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

// Sender sends messages to other daemons.
type Sender struct{ Transport *peer.Transport }

// SendBroker implements broker.Sender.
func (s Sender) SendBroker(to id.Daemon, e *broker.Envelope) error {
	return s.Transport.Send(to, KindBroker, e)
}

// SendQuota sends a message about teams' limits, as quotas.Config asks for.
func (s Sender) SendQuota(to id.Daemon, e *quotas.Envelope) error {
	return s.Transport.Send(to, KindQuota, e)
}

// SendMember implements members.Sender. A message too large for a datagram
// goes by the one-way stream. Errors are not handled: the membership repeats
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

// relays is to how many daemons evidence that was learnt is passed on. The first
// sending goes to all; this one makes up for what it missed.
const evidenceFanout = 2

// RelayEvidence passes evidence on to a few of the given daemons, at random.
func (s Sender) RelayEvidence(among []id.Daemon, state poison.State) {
	rand.Shuffle(len(among), func(i, j int) { among[i], among[j] = among[j], among[i] })
	s.SendEvidence(among[:min(evidenceFanout, len(among))], state)
}

// SendEvidence sends evidence to the given daemons. What is lost comes again
// with the next crash.
func (s Sender) SendEvidence(to []id.Daemon, state poison.State) {
	for _, d := range to {
		_ = s.Transport.Send(d, KindEvidence, &state)
	}
}
