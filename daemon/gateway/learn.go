package gateway

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/registry"
)

// fleetListener tells the duties what the membership found.
type fleetListener struct {
	d *Daemon
	f *fleet
}

// Live implements members.Listener.
func (l fleetListener) Live(daemons []id.Daemon) {
	if len(daemons) == 0 {
		daemons = []id.Daemon{l.f.self.Daemon}
	}
	l.f.broker.SetMembers(ableAmong(daemons, l.f.members.Entries()))
}

// ableAmong are the daemons that pools' owners are chosen among: those on the
// largest hosts.
func ableAmong(daemons []id.Daemon, entries []member.Entry) []id.Daemon {
	known := make(map[id.Daemon]capacity.Capacity, len(entries))
	for _, e := range entries {
		known[e.Process.Daemon] = e.Capacity
	}
	return capacity.Able(daemons, func(d id.Daemon) capacity.Capacity { return known[d] })
}

// Gone implements members.Listener.
func (l fleetListener) Gone(p id.Process) {
	time.AfterFunc(goneGrace, func() { l.f.broker.ProcessGone(p) })
}

// Forgotten implements members.Listener.
func (l fleetListener) Forgotten(d id.Daemon) { l.f.transport.RemovePeer(d) }

// PeerRevision implements members.Listener.
func (l fleetListener) PeerRevision(from id.Daemon, revision uint64) {
	if revision > l.d.revision() {
		time.AfterFunc(behindFor, func() { l.d.catchUp(l.f, from, revision) })
	}
}

// StopActing implements members.Listener. A superseded process ends itself.
func (l fleetListener) StopActing(superseded bool) {
	if l.f.orderer != nil {
		l.f.orderer.Halt()
	}
	if superseded {
		l.d.logger.Error("daemon_superseded", "incarnation", l.f.self.Incarnation)
		go l.d.Kill()
	}
}

// catchUp learns what another daemon knows more of the store's tables: from
// the store, whose feed may have gone silent, and if that does not answer from
// the daemon.
func (d *Daemon) catchUp(f *fleet, from id.Daemon, revision uint64) {
	if d.ctx.Err() != nil || d.revision() >= revision {
		return
	}
	d.logger.Event("tables_behind", "peer", from, "peer_revision", revision, "own", d.revision())
	d.configs.Refresh()
	d.endpoints.Refresh()
	if !d.storeLost() {
		time.AfterFunc(behindFor, func() { d.askPeer(f, from, revision) })
		return
	}
	d.askPeer(f, from, revision)
}

func (d *Daemon) askPeer(f *fleet, from id.Daemon, revision uint64) {
	if d.ctx.Err() != nil || d.revision() >= revision {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, tablesTimeout)
	defer cancel()
	var reply tablesReply
	if err := f.transport.Call(ctx, from, kindTables, &tablesQuery{}, &reply); err != nil {
		d.logger.Warn("tables_not_learnt", "peer", from, "why", err)
		return
	}
	d.tellRegistry(d.endpoints.Name(), func(l *registry.List) { l.Returned(d.now(), reply.Grace) })
	if d.adopt(reply.States) {
		d.logger.Event("tables_learnt", "peer", from, "revision", d.revision())
	}
}
