package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what neighbours tell one another.
const (
	// newsRepeats is in how many heartbeats a piece of news goes to each
	// neighbour: a datagram may be lost, and each daemon has several neighbours.
	updateRepeats = 3
	// mostNews bounds the pieces of news on one heartbeat.
	maxUpdatesPerHeartbeat = 24
	// agreeWithin is how long a neighbour may know other daemons than this one
	// before it is asked for all that it knows: news take less.
	digestGrace = 2 * time.Second
	// syncPause is the least time between two such questions, startSync while
	// most daemons were not heard of yet.
	syncInterval      = 3 * time.Second
	startSyncInterval = 400 * time.Millisecond
	// returnedPause is the least time between two such questions to daemons that
	// have come back.
	returnedSyncInterval = time.Second
	// rejoinFor is how long a daemon that was isolated asks its neighbours, one
	// after another, for all that they know.
	rejoinFor = 5 * time.Second
	// linkEvery is the time between heartbeats to all others of a daemon that
	// keeps connections to them; connections rest for longer.
	keepaliveEvery = 2 * time.Second
	// settleWatched is how long a daemon must want to be watched before it says
	// so: one that has just started may take itself for an owner until it has
	// heard of the others, and would connect to all of them.
	watchedDelay = 1500 * time.Millisecond
	// tellAllFor is how long all are told that a daemon is watched no more.
	announceFor = 2 * time.Second
	// longGone is after how long a daemon that is gone is tried only every
	// longGoneEvery: most won't come back under their name.
	longAbsent      = time.Minute
	longAbsentRetry = 10 * time.Second
	// unmetFor is how long a listed daemon that nobody has heard of is waited for.
	unseenTimeout = 10 * time.Second
)

// beatNear sends heartbeats to the neighbours, to those that watch this daemon
// and, where it keeps connections to all others, to these.
func (m *Membership) sendRingHeartbeats(now time.Duration) {
	news := m.rings.updates.take(maxUpdatesPerHeartbeat, updateRepeats)
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
			m.sendNeighbour(now, p, news)
		case toAll && p.seen:
			m.sendKeepalive(now, p)
		}
	}
	m.keepConnections(now)
	if len(m.rings.updates) > 0 {
		m.nextBeat = min(m.nextBeat, now+m.cfg.GossipInterval)
	}
}

func (m *Membership) sendNeighbour(now time.Duration, p *peer, news []Entry) {
	p.sentAt = now
	m.send(p, Message{Kind: Heartbeat, Watching: p.neighbour, Digest: m.rings.sentDigest, Entries: slices.Clone(news)})
}

func (m *Membership) sendKeepalive(now time.Duration, p *peer) {
	p.sentAt = now
	m.send(p, Message{Kind: Heartbeat})
}

// tryGap sends a message now and then to a daemon that is gone and would be a
// neighbour: so it learns, when it comes back, what is held of it.
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

// keepLinks keeps the connections to all others alive: each gets a heartbeat
// every linkEvery, a part of them in each period.
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

// tell has news of a peer sent on to the neighbours, soon.
func (m *Membership) enqueueUpdate(e Entry) {
	if e.Process.Daemon != m.self.Process.Daemon {
		// Each heartbeat tells of this daemon itself.
		m.rings.updates.add(e)
	}
	m.expediteUpdates()
}

// hurryNews brings the next heartbeats forward to when news may go out.
func (m *Membership) expediteUpdates() { m.nextBeat = min(m.nextBeat, m.lastBeat+m.cfg.GossipInterval) }

// noteworthy says whether a daemon tells of itself what all others must know.
func mustSpread(old, now Entry) bool {
	return old.Watched != now.Watched || old.StoreLost != now.StoreLost || old.Stale != now.Stale ||
		(old.Revision == 0) != (now.Revision == 0) || old.CallerAddress != now.CallerAddress
}

// digest sums up who is there: equal ones mean the same daemons in the same
// starts and epochs.
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

// compare takes a neighbour's digest. One that has differed for long has missed
// news, or this daemon has.
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

// syncNear asks a neighbour for all that it knows while listed daemons were not
// heard of: at the daemon's own start, and at that of a whole fleet.
func (m *Membership) syncNeighbour(now time.Duration) {
	rejoins := now < m.rings.rejoinUntil
	if now < m.rings.syncAt && !rejoins {
		return
	}
	unmet := 0
	var near []*peer
	for _, name := range m.order {
		p := m.peers[name]
		if !p.seen && !p.absent() {
			unmet++
		}
		if p.neighbour && p.seen && p.entry.State == Alive {
			near = append(near, p)
		}
	}
	if unmet == 0 && !rejoins || len(near) == 0 {
		return
	}
	m.rings.syncAt = now + syncInterval
	if 2*unmet > len(m.order) {
		m.rings.syncAt = now + startSyncInterval
	}
	m.send(near[m.rng.IntN(len(near))], Message{Kind: Sync})
}

// askReturned asks a daemon that has come back for all that it knows: it may have
// been cut off together with others.
func (m *Membership) syncReturned(now time.Duration, p *peer) {
	if !m.rings.enabled || now < m.rings.returnedSyncAt {
		return
	}
	m.rings.returnedSyncAt = now + returnedSyncInterval
	m.send(p, Message{Kind: Sync})
}

// noteHeartbeat notes a heartbeat of a daemon that watches this one.
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

// takeWatched says that this daemon is watched once it has wanted to be for a
// while, and that it is no more at once.
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

// judgeUnwatched moves along a peer that this daemon does not watch: those who do
// tell of it, and are waited for.
func (m *Membership) checkUnwatched(now time.Duration, p *peer) {
	switch {
	case !p.seen && now-p.stateSince >= unseenTimeout:
		m.set(now, p, Dead, "listed and never heard")
	case p.seen && p.entry.State == Suspect && now-p.stateSince >= m.unwatchedTimeout():
		m.declareLost(now, p)
	case p.seen && p.entry.State == Alive && m.isolated && now-p.lastHeard >= m.deadAfter(p) && m.domainSilent(now, p):
		// None of those who are left watches it.
		m.declareLost(now, p)
	}
}

// unwatchedPatience is how long the word of those who watch a suspect daemon is
// waited for. Those beyond a cut can't give it.
func (m *Membership) unwatchedTimeout() time.Duration {
	if m.isolated {
		return m.cfg.DeadAfter
	}
	return 3 * m.cfg.DeadAfter
}
