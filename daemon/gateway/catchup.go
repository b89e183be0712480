package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
)

// fleetListener passes membership changes to the other components.
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

// eligibleOwners returns the daemons that may own pools: those on the largest
// hosts.
func eligibleOwners(daemons []id.Daemon, entries []member.Entry) []id.Daemon {
	known := make(map[id.Daemon]capacity.Capacity, len(entries))
	for _, e := range entries {
		known[e.Process.Daemon] = e.Capacity
	}
	return capacity.SelectAble(daemons, func(d id.Daemon) capacity.Capacity { return known[d] })
}

// Joined implements members.Listener. In a large fleet a daemon gets no records of before:
// the other ones that broadcast hold them too, and all daemons would send theirs at once.
func (l fleetListener) Joined(d id.Daemon) {
	if !l.f.members.Large() {
		go l.d.origins.Joined(d)
	}
}

// Gone implements members.Listener.
func (l fleetListener) Gone(p id.Process) {
	l.d.origins.PeerGone()
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

// StopActing implements members.Listener. A process that was superseded by a later
// one of the same daemon ends itself.
func (l fleetListener) StopActing(superseded bool) {
	l.d.retryShare.restart(l.d.now())
	if l.f.orderer != nil {
		l.f.orderer.Halt()
	}
	if superseded {
		l.d.logger.Error("daemon_superseded", "incarnation", l.f.self.Incarnation)
		go l.d.Kill()
	}
}

// catchUpTarget is the newest table revision known to other daemons, and one daemon
// that has it. It is safe for concurrent use.
type catchUpTarget struct {
	mu sync.Mutex
	// running is set while the daemon catches up.
	running  bool
	from     id.Daemon
	revision uint64
}

// observe records the revision of another daemon; begin reports that no catch-up is
// running yet. Of several daemons with the same revision the last one is queried: all
// daemons learn of a change at about the same time, and should not query the same
// daemon.
func (c *catchUpTarget) observe(from id.Daemon, revision uint64) (begin bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.revision {
		c.from, c.revision = from, revision
	}
	begin = !c.running
	c.running = true
	return begin
}

// next returns the daemon to query and the revision to reach. more is false, and the
// catch-up ends, if the daemon has that revision or has made maxCatchUpAttempts
// attempts; the next change starts another catch-up.
func (c *catchUpTarget) next(own uint64, tries int) (from id.Daemon, revision uint64, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = own < c.revision && tries < maxCatchUpAttempts
	return c.from, c.revision, c.running
}

// catchUp brings the store's tables up to the newest revision known to other
// daemons, one attempt at a time. Separate attempts for each daemon with a newer
// revision, with two reads of the store each, would grow with the square of the
// fleet.
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

// catchUpOnce makes one attempt to reach another daemon's revision of the store's
// tables. It reads them from the store, since the connection that waits for changes
// may be dead. If that does not suffice, it fetches them from the other daemon.
func (d *Daemon) catchUpOnce(f *fleet, from id.Daemon, revision uint64) {
	d.logger.Event("tables_behind", "peer", from, "peer_revision", revision, "own", d.revision())
	d.configs.Refresh()
	d.endpoints.Refresh()
	if !d.storeLost() && !d.sleep(catchUpDelay) {
		return
	}
	d.fetchTables(f, from, revision)
}

// fetchTables adopts the table states of another daemon, unless this one has reached
// the revision.
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
	if d.adopt(reply.all()) {
		d.logger.Event("tables_learnt", "peer", from, "revision", d.revision())
	}
}
