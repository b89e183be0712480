package member

import (
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// rings is the state used in a large fleet, in which each daemon watches a few
// neighbours instead of all others.
type rings struct {
	// enabled is set while the fleet is larger than Config.MaxMeshPeers.
	enabled bool
	// neighboursStale is set when the neighbours must be recomputed.
	neighboursStale bool
	// updates are queued for the neighbours.
	updates updateQueue
	// sentDigest is the membership digest on the last heartbeats.
	sentDigest uint64
	// rejoinUntil is until when this daemon, after isolation, adopts the state that
	// others hold.
	rejoinUntil time.Duration
	// syncAt is when the next Sync may be sent to a neighbour.
	syncAt time.Duration
	// returnedSyncAt is when the next Sync may be sent to a returned daemon.
	returnedSyncAt time.Duration
	// wantsWatched is the last LocalStatus.Watched, wantsWatchedSince since when it has
	// been set; linked is the last LocalStatus.Linked.
	wantsWatched      bool
	wantsWatchedSince time.Duration
	linked            bool
	// announcedToAll is set once all daemons have been sent that this daemon is
	// watched, and announceUntil is until when they are sent that it no longer is.
	announcedToAll bool
	announceUntil  time.Duration
	// keepaliveIndex is the index into the order at which the next keepalives start.
	keepaliveIndex int
}

// ringState is the state of a peer on the rings.
type ringState struct {
	// positions holds the peer's position on each ring.
	positions []uint64
	// neighbour is set on this daemon's neighbours, watched since neighbourSince.
	neighbour      bool
	neighbourSince time.Duration
	// absentNeighbour is set on peers that have no place on the rings and would be
	// neighbours otherwise.
	absentNeighbour bool
	// heartbeatsUntil is until when the peer, which watches this daemon, is sent
	// heartbeats.
	heartbeatsUntil time.Duration
	// watchedSince is when the peer first reported to this daemon that it is watched.
	watchedSince time.Duration
	// sentAt is when the last heartbeat was sent to the peer.
	sentAt time.Duration
	// digestMatchedAt is when the peer's digest last matched this daemon's.
	digestMatchedAt time.Duration
}

// positions returns a daemon's position on each ring.
func (c *Config) positions(name id.Daemon) []uint64 {
	at := make([]uint64, c.Rings)
	for ring := range at {
		at[ring] = rendezvous.Score("ring/"+strconv.Itoa(ring), name)
	}
	return at
}

// absent reports whether a peer is dead or partitioned.
func (p *peer) absent() bool { return p.entry.State == Dead || p.entry.State == Partitioned }

// onRings reports whether a peer currently has a place on the rings. While this
// daemon is isolated, suspect peers have none: it then soon watches other peers,
// and in this way checks all of them.
func (m *Membership) onRings(p *peer) bool {
	return !p.absent() && !(m.isolated && p.entry.State == Suspect)
}

// chooseNeighbours selects the predecessor and the successor of this daemon on each
// ring. Daemons with the same membership view make consistent choices, so that
// neighbours watch each other.
func (m *Membership) chooseNeighbours(now time.Duration) {
	m.rings.neighboursStale = false
	m.rings.enabled = m.cfg.MaxMeshPeers > 0 && len(m.order) > m.cfg.MaxMeshPeers
	before := make(map[*peer]bool, 2*m.cfg.Rings)
	for _, p := range m.peers {
		if p.neighbour {
			before[p] = true
		}
		p.neighbour, p.absentNeighbour = false, false
	}
	if !m.rings.enabled {
		return
	}
	for ring := range m.cfg.Rings {
		m.chooseOnRing(ring)
	}
	for _, p := range m.peers {
		if p.neighbour && !before[p] {
			p.neighbourSince, p.digestMatchedAt = now, now
			m.expediteUpdates()
		}
	}
}

// chooseOnRing selects the neighbours on one ring, and marks the peers without a
// place on the rings that lie between them and this daemon.
func (m *Membership) chooseOnRing(ring int) {
	next, previous := m.adjacent(m.positions[ring], ring, nil)
	toNext, toPrevious := ^uint64(0), ^uint64(0)
	if next != nil {
		next.neighbour, previous.neighbour = true, true
		toNext, toPrevious = next.positions[ring]-m.positions[ring], m.positions[ring]-previous.positions[ring]
	}
	for _, p := range m.peers {
		if !m.onRings(p) && (p.positions[ring]-m.positions[ring] < toNext || m.positions[ring]-p.positions[ring] < toPrevious) {
			p.absentNeighbour = true
		}
	}
}

// adjacent returns the peers that follow and precede a position on a ring, without
// the peer except; nil if there are none.
func (m *Membership) adjacent(at uint64, ring int, except *peer) (next, previous *peer) {
	for _, name := range m.order {
		p := m.peers[name]
		if p == except || !m.onRings(p) {
			continue
		}
		if next == nil || p.positions[ring]-at < next.positions[ring]-at {
			next = p
		}
		if previous == nil || at-p.positions[ring] < at-previous.positions[ring] {
			previous = p
		}
	}
	return next, previous
}

// watchers lists the neighbours of a peer in this daemon's view, which receive its
// heartbeats.
func (m *Membership) watchers(p *peer) []*peer {
	var out []*peer
	seen := map[*peer]bool{}
	for ring := range m.cfg.Rings {
		next, previous := m.adjacent(p.positions[ring], ring, p)
		for _, q := range []*peer{next, previous} {
			if q != nil && q.seen && !seen[q] {
				seen[q] = true
				out = append(out, q)
			}
		}
	}
	return out
}

// watches reports whether this daemon checks a peer for silence, and so expects its
// heartbeats.
func (m *Membership) watches(p *peer) bool {
	return !m.rings.enabled || p.neighbour || (p.entry.Watched && p.watchedSince > 0)
}

// silence returns for how long a watched peer has not been heard.
func (m *Membership) silence(now time.Duration, p *peer) time.Duration {
	heard := p.lastHeard
	if m.rings.enabled {
		heard = max(heard, p.neighbourSince)
	}
	return now - heard
}

// UsesRings reports whether the fleet is so large that each daemon watches a few
// neighbours instead of all others.
func (m *Membership) UsesRings() bool { return m.rings.enabled }
