package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Receive handles a message that arrived from another daemon.
func (m *Membership) Receive(now time.Duration, msg Message) []Action {
	from := msg.From.Process.Daemon
	if from == "" || from == m.self.Process.Daemon {
		m.handleSelfEntry(msg.From, from)
		return m.flush()
	}
	current := m.merge(now, msg.From, true)
	m.mergingSync = msg.Kind == SyncReply
	for _, e := range msg.Entries {
		if e.Process.Daemon == m.self.Process.Daemon {
			m.handleSelfEntry(e, from)
			continue
		}
		m.merge(now, e, false)
	}
	m.mergingSync = false
	if p := m.peers[from]; p != nil {
		m.handle(now, p, msg, current)
	}
	return m.flush()
}

// handle processes a message according to its kind.
func (m *Membership) handle(now time.Duration, p *peer, msg Message, current bool) {
	if !current {
		// An old incarnation still runs: it must be notified that it is superseded.
		m.notifySuperseded(p, msg)
		return
	}
	switch msg.Kind {
	case Heartbeat:
		m.noteHeartbeat(now, p, msg)
		if m.mustNotify(p) && p.entry.State != Suspect {
			m.send(p, Message{Kind: Ack})
		}
	case Probe:
		m.send(p, Message{Kind: Ack, Seq: msg.Seq, Entries: m.takeUpdates()})
	case Ack:
		m.onAck(now, p, msg)
	case ProbeRequest:
		m.onProbeRequest(now, p, msg)
	case Sync:
		m.onSync(p)
	case Shuffle:
		m.onShuffle(now, p, msg)
	case ShuffleReply:
		m.onShuffleReply(msg)
	}
}

// notifySuperseded replies to a process that a later incarnation has replaced.
func (m *Membership) notifySuperseded(p *peer, msg Message) {
	reply := Message{Kind: Ack, From: m.self, Entries: []Entry{p.entry}}
	m.emit(Action{Send: &Send{To: p.entry.Process.Daemon, Address: msg.From.Address, Message: reply}})
}

// handleSelfEntry handles another daemon's entry about this daemon: it halts if
// the entry reports a death or a later incarnation, and refutes a suspicion.
func (m *Membership) handleSelfEntry(e Entry, by id.Daemon) {
	if e.Process.Daemon != m.self.Process.Daemon {
		return
	}
	if e.Process.Incarnation > m.self.Process.Incarnation {
		m.halt(by, true)
		return
	}
	if e.Process.Incarnation < m.self.Process.Incarnation || e.Epoch < m.self.Epoch {
		return
	}
	switch e.State {
	case Dead:
		m.self.Epoch = e.Epoch
		m.halt(by, false)
	case Suspect, Partitioned:
		if m.gossips() && !m.halted {
			m.self.Epoch = e.Epoch + 1
			m.enqueue(m.self)
		}
	}
}

// merge merges one entry about another daemon; direct entries come from the daemon
// itself. It returns false if the entry is of a superseded incarnation.
func (m *Membership) merge(now time.Duration, e Entry, direct bool) bool {
	p := m.peerNamed(now, e.Process.Daemon)
	if p == nil || e.State < Alive || e.State > Dead {
		return true
	}
	if e.Process.Incarnation < p.entry.Process.Incarnation {
		return false
	}
	if !p.seen || e.Process.Incarnation > p.entry.Process.Incarnation {
		m.replaceIncarnation(now, p, e, direct)
		return true
	}
	fresh := e.Beat > p.entry.Beat
	spread := fresh && mustSpread(p.entry, e)
	if fresh {
		copyReport(&p.entry, e)
	}
	if !p.entry.Watched {
		p.watchedSince = 0
	}
	if spread {
		m.enqueue(p.entry)
	}
	if direct {
		p.lastDirect = now
		p.noteWatched(now)
	}
	if e.State == Leaving && !p.announcedLeave {
		p.announcedLeave = true
		m.enqueue(e)
	}
	m.mergeState(now, p, e, direct, fresh)
	return true
}

// noteWatched records since when a daemon has reported directly that it is watched.
func (p *peer) noteWatched(now time.Duration) {
	if p.entry.Watched && p.watchedSince == 0 {
		p.watchedSince = max(now, 1)
	}
}

// copyReport copies a daemon's report about itself, except for state and epoch.
func copyReport(to *Entry, e Entry) {
	to.Beat = e.Beat
	to.Domain, to.Address, to.CallerAddress = e.Domain, e.Address, e.CallerAddress
	to.Revision, to.InFlight, to.Settings = e.Revision, e.InFlight, e.Settings
	to.Watched, to.StoreLost, to.Stale = e.Watched, e.StoreLost, e.Stale
	to.Period = e.Period
}

// replaceIncarnation resets a peer for a new incarnation, or for the first message
// from or about a daemon that was only listed.
func (m *Membership) replaceIncarnation(now time.Duration, p *peer, e Entry, direct bool) {
	if p.seen && p.entry.State != Dead {
		p.entry.State = Dead
		p.announcedLeave, p.listedLeaving = false, false
		m.reportState(p, "a later incarnation started")
	}
	p.seen = true
	p.entry = e
	p.announcedLeave = e.State == Leaving
	if p.announcedLeave {
		p.entry.State = Alive
	}
	p.lastHeard, p.stateSince = now, now
	p.watchedSince, p.reviveAt = 0, now
	if direct {
		p.lastDirect = now
		p.noteWatched(now)
	}
	p.reported = 0
	m.rings.neighboursStale = true
	m.enqueue(e)
	m.reportState(p, "first heard")
	if direct && m.cfg.Mode == Mesh && !m.halted {
		// It has just started, and should not wait for the next regular heartbeats.
		m.send(p, Message{Kind: Heartbeat})
	}
}

// mergeState updates a peer's state from an entry of the same incarnation.
func (m *Membership) mergeState(now time.Duration, p *peer, e Entry, direct, fresh bool) {
	reported := e.State
	if reported == Leaving {
		reported = Alive
	}
	newer := e.Epoch > p.entry.Epoch
	if newer {
		p.entry.Epoch = e.Epoch
		p.lastHeard = now
		m.set(now, p, reported, "a new epoch")
		if m.rings.enabled {
			// Queued even if the state is unchanged here: others may suspect the daemon.
			m.enqueue(p.entry)
		}
		return
	}
	if e.Epoch < p.entry.Epoch {
		return
	}
	if fresh || direct {
		m.applyEvidence(now, p, e, direct)
	}
	if m.rejoins(now, p, reported) {
		p.lastHeard = now
		m.set(now, p, reported, "reported by a peer")
	}
	if !direct && m.acceptsReport(p, e, reported) {
		m.set(now, p, reported, "reported by a peer")
	}
}

// rejoins reports whether to accept a peer's report that an unreachable daemon is
// alive: this daemon was isolated, and the others were not.
func (m *Membership) rejoins(now time.Duration, p *peer, reported State) bool {
	lost := p.entry.State == Partitioned || p.entry.State == Suspect && !m.watches(p)
	return lost && reported == Alive && m.mergingSync && now < m.rings.rejoinUntil
}

// acceptsReport reports whether to accept a peer's report about another daemon. A
// death is accepted unless this daemon is isolated, so that every daemon notifies
// the one declared dead; a suspicion is accepted unless this daemon has newer
// evidence.
func (m *Membership) acceptsReport(p *peer, e Entry, reported State) bool {
	if !m.gossips() || reported <= p.entry.State {
		return false
	}
	if m.rings.enabled && !m.acceptsOnRings(p, reported) {
		return false
	}
	if reported == Dead {
		return !m.isolated
	}
	return e.Beat >= p.entry.Beat
}

// acceptsOnRings reports whether, in a large fleet, another daemon's report of a
// state may be accepted.
func (m *Membership) acceptsOnRings(p *peer, reported State) bool {
	switch reported {
	case Partitioned:
		// Reachability differs between observers.
		return false
	case Suspect:
		// An old suspicion has been refuted by now, and for a daemon that is watched
		// here, its silence towards this daemon is the better evidence.
		return !m.mergingSync && !m.watches(p)
	default:
		return true
	}
}

// applyEvidence handles proof that a process ran. A dead daemon must first learn
// that it was declared dead: it is paused until it responds with a new epoch.
func (m *Membership) applyEvidence(now time.Duration, p *peer, e Entry, direct bool) {
	if direct && p.absent() {
		m.syncReturned(now, p)
	}
	switch p.entry.State {
	case Dead:
		if direct {
			p.lastHeard = now
			m.set(now, p, Paused, "it came back")
		}
	case Paused:
		p.lastHeard = now
	default:
		p.lastHeard = now
		to := Alive
		if direct && e.State == Paused {
			to = Paused
		}
		m.set(now, p, to, "heard")
	}
}
