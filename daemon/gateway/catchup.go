package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
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
	able := eligibleOwners(daemons, l.f.members.Entries())
	l.f.broker.SetMembers(able)
	l.f.quotas.SetMembers(able)
}

// ableAmong are the daemons that pools' owners are chosen among: those on the
// largest hosts.
func eligibleOwners(daemons []id.Daemon, entries []member.Entry) []id.Daemon {
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
	if revision > l.d.revision() && l.f.catchUpTarget.observe(from, revision) {
		go l.d.catchUp(l.f)
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

// pursuit is what other daemons are known to know more of the store's tables.
type catchUpTarget struct {
	mu sync.Mutex
	// running is set while the daemon tries to learn it.
	running  bool
	from     id.Daemon
	revision uint64
}

// note takes what a daemon knows; begin says that the pursuit is not running
// yet. Of daemons that know as much the last one is asked: all others hear of a
// change at the same time, and should not ask the same one.
func (p *catchUpTarget) observe(from id.Daemon, revision uint64) (begin bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision >= p.revision {
		p.from, p.revision = from, revision
	}
	begin = !p.running
	p.running = true
	return begin
}

// next says whom to ask for what; the pursuit ends where the daemon knows it, or
// has tried often enough: the next change begins another one.
func (p *catchUpTarget) next(own uint64, tries int) (from id.Daemon, revision uint64, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = own < p.revision && tries < maxCatchUpAttempts
	return p.from, p.revision, p.running
}

// pursue learns what other daemons know more of the store's tables, one attempt
// after another: an attempt for each of the others that know more, with two reads
// of the store each, would grow with the square of the fleet.
func (d *Daemon) catchUp(f *fleet) {
	pause := catchUpDelay
	for tries := 0; ; tries++ {
		if !d.sleep(pause) {
			return
		}
		from, revision, more := f.catchUpTarget.next(d.revision(), tries)
		if !more {
			return
		}
		d.catchUpOnce(f, from, revision)
		pause = min(2*pause, maxCatchUpPause)
	}
}

// catchUp learns what another daemon knows more of the store's tables: from
// the store, whose feed may have gone silent, and if that does not answer from
// the daemon.
func (d *Daemon) catchUpOnce(f *fleet, from id.Daemon, revision uint64) {
	d.logger.Event("tables_behind", "peer", from, "peer_revision", revision, "own", d.revision())
	d.configs.Refresh()
	d.endpoints.Refresh()
	if !d.storeLost() && !d.sleep(catchUpDelay) {
		return
	}
	d.fetchTables(f, from, revision)
}

func (d *Daemon) fetchTables(f *fleet, from id.Daemon, revision uint64) {
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
	d.handleStoreStatus(from, reply.Store)
	if d.adopt(reply.States) {
		d.logger.Event("tables_learnt", "peer", from, "revision", d.revision())
	}
}
