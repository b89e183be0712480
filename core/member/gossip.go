package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the gossip between neighbours.
const (
	// updateRepeats is in how many heartbeats an update is sent to each
	// neighbour: a datagram may be lost, and each daemon has several neighbours.
	updateRepeats = 3
	// maxUpdatesPerHeartbeat bounds the updates on one heartbeat.
	maxUpdatesPerHeartbeat = 24
	// digestGrace is how long a neighbour's digest may differ from this daemon's
	// before this daemon sends a Sync: updates normally spread in less time.
	digestGrace = 2 * time.Second
	// syncInterval is the minimum time between two such Syncs, and
	// startSyncInterval that between two at startup, while most daemons have not
	// been seen yet.
	syncInterval      = 3 * time.Second
	startSyncInterval = 400 * time.Millisecond
	// returnedSyncInterval is the minimum time between two Syncs to daemons that
	// have returned.
	returnedSyncInterval = time.Second
	// rejoinFor is how long a daemon that was isolated sends Syncs to randomly
	// chosen neighbours.
	rejoinFor = 5 * time.Second
	// keepaliveEvery is the time between heartbeats from a daemon that keeps
	// connections to all others; the idle timeout of connections is longer.
	keepaliveEvery = 2 * time.Second
	// watchedDelay is how long a daemon must want to be watched before it announces
	// it: a daemon that has just started may consider itself an owner until it has
	// learnt of the others, and would connect to all of them.
	watchedDelay = 1500 * time.Millisecond
	// announceFor is how long heartbeats to all announce that a daemon is no longer
	// watched.
	announceFor = 2 * time.Second
	// longAbsent is the absence after which a daemon is retried only every
	// longAbsentRetry: most such daemons never return under the same name.
	longAbsent      = time.Minute
	longAbsentRetry = 10 * time.Second
	// unseenTimeout is the wait for a listed daemon that no message has mentioned.
	unseenTimeout = 10 * time.Second
)

// sendRingHeartbeats sends heartbeats to the neighbours and to the daemons that
// watch this one; to all others while this daemon is watched or announces that it
// no longer is; and keepalives where it keeps connections to all others.
func (m *Membership) sendRingHeartbeats(now time.Duration) {
	updates := m.rings.updates.take(maxUpdatesPerHeartbeat, updateRepeats)
	m.rings.sentDigest = m.digest()
	m.seenPeers = 0
	toAll := m.self.Watched || now < m.rings.announceUntil
	m.rings.announcedToAll = m.rings.announcedToAll || m.self.Watched
	for _, name := range m.order {
		p := m.peers[name]
		if !m.onRings(p) {
			m.retryAbsent(now, p)
			continue
		}
		if p.seen {
			m.seenPeers++
		}
		switch {
		case p.neighbour || now < p.heartbeatsUntil:
			m.sendNeighbour(now, p, updates)
		case toAll && p.seen:
			m.sendKeepalive(now, p)
		}
	}
	m.keepConnections(now)
	if len(m.rings.updates) > 0 {
		m.nextBeat = min(m.nextBeat, now+m.cfg.GossipInterval)
	}
}

func (m *Membership) sendNeighbour(now time.Duration, p *peer, updates []Entry) {
	p.sentAt = now
	m.send(p, Message{Kind: Heartbeat, Watching: p.neighbour, Digest: m.rings.sentDigest, Entries: slices.Clone(updates)})
}

func (m *Membership) sendKeepalive(now time.Duration, p *peer) {
	p.sentAt = now
	m.send(p, Message{Kind: Heartbeat})
}

// retryAbsent periodically sends a heartbeat to an absent daemon that would
// otherwise be a neighbour, so that it learns its state here when it returns.
func (m *Membership) retryAbsent(now time.Duration, p *peer) {
	if !p.absentNeighbour || now < p.reviveAt {
		return
	}
	p.reviveAt = now + m.cfg.ReviveEvery
	if now-p.stateSince >= longAbsent {
		p.reviveAt = now + longAbsentRetry
	}
	m.send(p, Message{Kind: Heartbeat, Watching: true})
}

// keepConnections keeps the connections to all others alive: each is sent a
// heartbeat every keepaliveEvery, spread over the periods.
func (m *Membership) keepConnections(now time.Duration) {
	if !m.rings.linked || m.self.Watched || len(m.order) == 0 {
		return
	}
	share := float64(m.ownPeriod()) / float64(keepaliveEvery)
	for range min(len(m.order), 1+int(share*float64(len(m.order)))) {
		p := m.peers[m.order[m.rings.keepaliveIndex%len(m.order)]]
		m.rings.keepaliveIndex++
		if p.seen && !p.absent() && now-p.sentAt >= keepaliveEvery/2 {
			m.sendKeepalive(now, p)
		}
	}
}

// enqueueUpdate queues an update for the neighbours and expedites the next
// heartbeats.
func (m *Membership) enqueueUpdate(e Entry) {
	if e.Process.Daemon != m.self.Process.Daemon {
		// Each heartbeat carries this daemon's own entry.
		m.rings.updates.add(e)
	}
	m.expediteUpdates()
}

// expediteUpdates brings the next heartbeats forward to the earliest time at which
// updates may be sent.
func (m *Membership) expediteUpdates() { m.nextBeat = min(m.nextBeat, m.lastBeat+m.cfg.GossipInterval) }

// mustSpread reports whether a daemon's report about itself has a change that all
// others must receive.
func mustSpread(old, now Entry) bool {
	return old.Watched != now.Watched || old.StoreLost != now.StoreLost || old.Stale != now.Stale ||
		(old.Revision == 0) != (now.Revision == 0) || old.CallerAddress != now.CallerAddress
}

// digest returns a hash of the present daemons: equal digests mean the same daemons
// with the same incarnations and epochs.
func (m *Membership) digest() uint64 {
	sum := entryDigest(&m.self)
	for _, p := range m.peers {
		if p.seen && !p.absent() {
			sum ^= entryDigest(&p.entry)
		}
	}
	return sum
}

func entryDigest(e *Entry) uint64 {
	const spread, odd = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	sum := xxhash.Sum64String(string(e.Process.Daemon)) ^ (uint64(e.Process.Incarnation) * spread) ^ (uint64(e.Epoch) * odd)
	return sum * spread
}

// compareDigest handles a neighbour's digest. If it has differed for digestGrace,
// the neighbour or this daemon has missed updates.
func (m *Membership) compareDigest(now time.Duration, p *peer, digest uint64) {
	if digest == 0 || digest == m.rings.sentDigest {
		p.digestMatchedAt = now
		return
	}
	if now-p.digestMatchedAt < digestGrace || now < m.rings.syncAt {
		return
	}
	m.rings.syncAt = now + syncInterval
	m.send(p, Message{Kind: Sync})
}

// syncNeighbour sends a Sync to a random neighbour while listed daemons have not
// been seen, as at the start of this daemon or of the whole fleet, and while this
// daemon rejoins after isolation.
func (m *Membership) syncNeighbour(now time.Duration) {
	rejoins := now < m.rings.rejoinUntil
	if now < m.rings.syncAt && !rejoins {
		return
	}
	unseen := 0
	var neighbours []*peer
	for _, name := range m.order {
		p := m.peers[name]
		if !p.seen && !p.absent() {
			unseen++
		}
		if p.neighbour && p.seen && p.entry.State == Alive {
			neighbours = append(neighbours, p)
		}
	}
	if unseen == 0 && !rejoins || len(neighbours) == 0 {
		return
	}
	m.rings.syncAt = now + syncInterval
	if 2*unseen > len(m.order) {
		m.rings.syncAt = now + startSyncInterval
	}
	m.send(neighbours[m.rng.IntN(len(neighbours))], Message{Kind: Sync})
}

// syncReturned sends a Sync to a daemon that has returned: it may have been cut off
// together with others.
func (m *Membership) syncReturned(now time.Duration, p *peer) {
	if !m.rings.enabled || now < m.rings.returnedSyncAt {
		return
	}
	m.rings.returnedSyncAt = now + returnedSyncInterval
	m.send(p, Message{Kind: Sync})
}

// noteHeartbeat records whether the sender of a heartbeat watches this daemon, and
// compares the digest of a neighbour.
func (m *Membership) noteHeartbeat(now time.Duration, p *peer, msg Message) {
	if !m.rings.enabled {
		return
	}
	if msg.Watching {
		if now >= p.heartbeatsUntil {
			m.expediteUpdates()
		}
		p.heartbeatsUntil = now + m.suspectAfter(p)
	}
	if p.neighbour {
		m.compareDigest(now, p, msg.Digest)
	}
}

// updateWatched sets Watched once the daemon has wanted to be watched for
// watchedDelay (in a small fleet at once), and clears it at once.
func (m *Membership) updateWatched(now time.Duration) {
	r := &m.rings
	if !r.wantsWatched {
		r.wantsWatchedSince = 0
	} else if r.wantsWatchedSince == 0 {
		r.wantsWatchedSince = now
	}
	watched := r.wantsWatched && (!r.enabled || now-r.wantsWatchedSince >= watchedDelay)
	if watched == m.self.Watched {
		return
	}
	if r.announcedToAll && !watched {
		r.announceUntil = now + announceFor
	}
	r.announcedToAll = false
	m.self.Watched = watched
	m.expediteHeartbeat()
}

// checkUnwatched applies the timeouts to a peer that this daemon does not watch. The
// daemons that watch it report its state, and are waited for.
func (m *Membership) checkUnwatched(now time.Duration, p *peer) {
	switch {
	case !p.seen && now-p.stateSince >= unseenTimeout:
		m.set(now, p, Dead, "listed but never heard from")
	case p.seen && p.entry.State == Suspect && now-p.stateSince >= m.unwatchedTimeout():
		m.declareLost(now, p)
	case p.seen && p.entry.State == Alive && m.isolated && now-p.lastHeard >= m.deadAfter(p) && m.domainSilent(now, p):
		// None of the reachable daemons watches it.
		m.declareLost(now, p)
	}
}

// unwatchedTimeout is the wait for a report by the daemons that watch a suspect
// peer. It is shorter while isolated: watchers beyond the partition can't report.
func (m *Membership) unwatchedTimeout() time.Duration {
	if m.isolated {
		return m.cfg.DeadAfter
	}
	return 3 * m.cfg.DeadAfter
}
