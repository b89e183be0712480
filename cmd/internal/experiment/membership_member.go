package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/app"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/members"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/peer"
)

// kindMembership is the only kind of message between participants.
const kindMembership peer.Kind = 1

// participant is the membership duty of one daemon with its transport, connected as
// in package app.
type participant struct {
	self      id.Process
	transport *peer.Transport
	duty      *members.Members
	deaths    chan<- deathReport
	ready     chan struct{}
}

// deathReport is the report of one participant that another has died.
type deathReport struct {
	by, of id.Daemon
	at     time.Time
}

// startParticipant starts a participant that listens on a loopback port.
func startParticipant(g *cluster, name id.Daemon, domain id.Domain, seeds []member.Host) (*participant, error) {
	material, err := g.ca.Peer(name)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	p := &participant{
		self:   id.Process{Daemon: name, Incarnation: id.Incarnation(begun.UnixNano())},
		deaths: g.deaths,
		ready:  make(chan struct{}),
	}
	registry := metrics.New(string(name))
	keepalive, idle := app.ConnectionTimeouts(g.mode)
	cfg := peer.Config{
		Self: p.self, Listen: "127.0.0.1:0", Keys: keys.FromMaterial(material), Handler: p, Registry: registry,
		Keepalive: keepalive, IdleTimeout: idle,
	}
	if p.transport, err = peer.Listen(cfg); err != nil {
		return nil, err
	}
	p.duty = members.Start(members.Config{
		Core:     member.DefaultConfig(g.mode),
		Self:     member.Entry{Process: p.self, Domain: domain, Address: p.transport.Address(), CallerAddress: p.transport.Address()},
		Seeds:    seeds,
		Sender:   p,
		Listener: p,
		Metrics:  registry,
		Local:    func() member.LocalStatus { return member.LocalStatus{Revision: 1} },
		Log:      func(string, ...any) {},
		Now:      func() time.Duration { return time.Since(begun) },
		Rand:     rand.New(rand.NewPCG(g.seed, uint64(len(g.all)))),
		Ready:    p.ready,
	})
	close(p.ready)
	return p, nil
}

// kill stops the participant like a process that dies: it sends nothing more, not
// even connection close frames.
func (p *participant) kill() {
	p.transport.SetFault(func(id.Daemon) peer.Drop { return peer.DropTraffic })
	p.duty.Close()
}

func (p *participant) close() {
	p.duty.Close()
	p.transport.Close()
}

// SendMember implements members.Sender.
func (p *participant) SendMember(to id.Daemon, address string, m *member.Message) {
	if address != "" && p.transport.SetPeer(to, address) != nil {
		return
	}
	if p.transport.Datagram(to, kindMembership, m) != nil {
		// The largest messages do not fit into a datagram. Without a connection,
		// both calls fail, and the member sends again in its next period.
		_ = p.transport.Send(to, kindMembership, m)
	}
}

// HandleOneWay implements peer.Handler.
func (p *participant) HandleOneWay(_ id.Daemon, _ peer.Kind, body []byte) { p.receive(body) }

// HandleDatagram implements peer.Handler.
func (p *participant) HandleDatagram(_ id.Daemon, _ peer.Kind, body []byte) { p.receive(body) }

// HandleCall implements peer.Handler. Participants make no calls, so it always
// returns an error.
func (p *participant) HandleCall(context.Context, id.Daemon, peer.Kind, []byte) ([]byte, error) {
	return nil, peer.ErrUnknownPeer
}

func (p *participant) receive(body []byte) {
	<-p.ready
	var m member.Message
	if peer.Decode(body, &m) == nil {
		p.duty.Receive(m)
	}
}

// Live implements members.Listener.
func (p *participant) Live([]id.Daemon) {}

// Joined implements members.Listener.
func (p *participant) Joined(id.Daemon) {}

// Gone implements members.Listener.
func (p *participant) Gone(gone id.Process) {
	p.deaths <- deathReport{by: p.self.Daemon, of: gone.Daemon, at: time.Now()}
}

// Forgotten implements members.Listener.
func (p *participant) Forgotten(d id.Daemon) { p.transport.RemovePeer(d) }

// PeerRevision implements members.Listener.
func (p *participant) PeerRevision(id.Daemon, uint64) {}

// StopActing implements members.Listener.
func (p *participant) StopActing(bool) {}

// sees returns the number of daemons that the participant regards as alive,
// including itself.
func (p *participant) sees() int {
	n := 0
	for _, e := range p.duty.Entries() {
		if e.State == member.Alive {
			n++
		}
	}
	return n
}
