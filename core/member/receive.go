package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Receive takes a message that arrived from another daemon.
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
		m.answer(now, p, msg, current)
	}
	return m.flush()
}

// answer does what the kind of message asks for.
func (m *Membership) answer(now time.Duration, p *peer, msg Message, current bool) {
	if !current {
		// An old incarnation still runs: it must learn that it is superseded.
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

// tellStale answers a process that a later incarnation has replaced.
func (m *Membership) notifySuperseded(p *peer, msg Message) {
	reply := Message{Kind: Ack, From: m.self, Entries: []Entry{p.entry}}
	m.emit(Action{Send: &Send{To: p.entry.Process.Daemon, Address: msg.From.Address, Message: reply}})
}

// aboutSelf meets what another daemon holds of this one.
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

// merge takes one entry about another daemon; direct entries come from the
// daemon itself. It tells whether the entry is of its newest incarnation.
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
	news := fresh && mustSpread(p.entry, e)
	if fresh {
		copyReport(&p.entry, e)
	}
	if !p.entry.Watched {
		p.watchedSince = 0
	}
	if news {
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

// noteWatched notes since when a daemon has said to this one that it is watched.
func (p *peer) noteWatched(now time.Duration) {
	if p.entry.Watched && p.watchedSince == 0 {
		p.watchedSince = max(now, 1)
	}
}

// takeReport copies what a daemon says of itself, but for state and epoch.
func copyReport(to *Entry, e Entry) {
	to.Beat = e.Beat
	to.Domain, to.Address, to.CallerAddress = e.Domain, e.Address, e.CallerAddress
	to.Revision, to.InFlight, to.Settings = e.Revision, e.InFlight, e.Settings
	to.Watched, to.StoreLost, to.Stale = e.Watched, e.StoreLost, e.Stale
	to.Period = e.Period
}

// replace starts afresh with a new incarnation, or one that was only listed.
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
		// It has just started, and should not wait for the next heartbeats.
		m.send(p, Message{Kind: Heartbeat})
	}
}

// mergeState decides the state after an entry of the same incarnation.
func (m *Membership) mergeState(now time.Duration, p *peer, e Entry, direct, fresh bool) {
	said := e.State
	if said == Leaving {
		said = Alive
	}
	newer := e.Epoch > p.entry.Epoch
	if newer {
		p.entry.Epoch = e.Epoch
		p.lastHeard = now
		m.set(now, p, said, "a new epoch")
		if m.rings.enabled {
			// Also where it changes nothing here: others may hold it for suspect.
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
	if m.rejoins(now, p, said) {
		p.lastHeard = now
		m.set(now, p, said, "reported by a peer")
	}
	if !direct && m.acceptsReport(p, e, said) {
		m.set(now, p, said, "reported by a peer")
	}
}

// rejoins decides whether a daemon that could not be reached is alive by a peer's
// word: this one was cut off, and the others were not.
func (m *Membership) rejoins(now time.Duration, p *peer, said State) bool {
	lost := p.entry.State == Partitioned || p.entry.State == Suspect && !m.watches(p)
	return lost && said == Alive && m.mergingSync && now < m.rings.rejoinUntil
}

// adopts decides whether to take a peer's word about another daemon. A death
// counts, unless this daemon is cut off, so that the daemon learns of it
// wherever it turns; a suspicion counts unless this one has newer evidence.
func (m *Membership) acceptsReport(p *peer, e Entry, said State) bool {
	if !m.gossips() || said <= p.entry.State {
		return false
	}
	if m.rings.enabled && !m.acceptsOnRings(p, said) {
		return false
	}
	if said == Dead {
		return !m.isolated
	}
	return e.Beat >= p.entry.Beat
}

// wordCounts says whether another daemon's word about a state is worth anything
// in a large fleet.
func (m *Membership) acceptsOnRings(p *peer, said State) bool {
	switch said {
	case Partitioned:
		// Who can reach a daemon differs from one to the next.
		return false
	case Suspect:
		// An old suspicion is refuted by now, and of a daemon that is watched here
		// its own silence tells more.
		return !m.mergingSync && !m.watches(p)
	default:
		return true
	}
}

// evidence takes proof that the process ran. A dead one must first learn that
// it was declared dead: it is paused until it answers with a new epoch.
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
