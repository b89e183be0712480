package member

import (
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// rings is the state that only a fleet has in which each daemon watches a few
// neighbours, instead of all others.
type rings struct {
	// on is set while the fleet is so large.
	enabled bool
	// stale is set when the neighbours must be chosen anew.
	neighboursStale bool
	// news waits to be told to the neighbours.
	updates updateQueue
	// digest is what this daemon knows of who is there, as last told.
	sentDigest uint64
	// rejoinUntil is until when this daemon, which was isolated, takes over what
	// others know.
	rejoinUntil time.Duration
	// syncAt is when a neighbour may be asked for all that it knows.
	syncAt time.Duration
	// returnedAskAt is when one that has come back may be asked.
	returnedSyncAt time.Duration
	// wantsWatched is what the daemon last said of itself, wantedAt since when;
	// linked is set while it keeps connections to all others.
	wantsWatched      bool
	wantsWatchedSince time.Duration
	linked            bool
	// toldAll is set once all have been told that the daemon is watched, and
	// tellAllUntil is until when they are told that it is no more.
	announcedToAll bool
	announceUntil  time.Duration
	// linkAt is where in the order the next heartbeats to all others go on.
	keepaliveIndex int
}

// place is what the rings say of a peer.
type ringState struct {
	// at is the peer's position on each ring.
	positions []uint64
	// near peers are this daemon's neighbours, which it watches since nearSince.
	neighbour      bool
	neighbourSince time.Duration
	// gap peers are gone, and would be neighbours if they came back.
	absentNeighbour bool
	// askedUntil is until when the peer, which watches this daemon, is sent
	// heartbeats.
	heartbeatsUntil time.Duration
	// watchedAt is when the peer first said to this daemon that it is watched.
	watchedSince time.Duration
	// sentAt is when the last heartbeat went to the peer.
	sentAt time.Duration
	// agreedAt is when the peer last knew the same daemons as this one.
	digestMatchedAt time.Duration
}

// positions gives a daemon's place on each ring.
func (c *Config) positions(name id.Daemon) []uint64 {
	at := make([]uint64, c.Rings)
	for ring := range at {
		at[ring] = rendezvous.Score("ring/"+strconv.Itoa(ring), name)
	}
	return at
}

// absent says whether a peer is taken for gone.
func (p *peer) absent() bool { return p.entry.State == Dead || p.entry.State == Partitioned }

// onRings says whether a peer has a place on the rings at present. For a daemon
// that is cut off those that are suspect have none: it soon watches others, and
// so finds out about all.
func (m *Membership) onRings(p *peer) bool {
	return !p.absent() && !(m.isolated && p.entry.State == Suspect)
}

// chooseNeighbours finds the daemons before and behind this one on each ring.
// All daemons that know the same others choose alike, so that those who watch a
// daemon are those whom it watches.
func (m *Membership) chooseNeighbours(now time.Duration) {
	m.rings.neighboursStale = false
	m.rings.enabled = m.cfg.MeshUpTo > 0 && len(m.order) > m.cfg.MeshUpTo
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

// chooseOn finds the neighbours on one ring, and those who are gone from
// between them and this daemon.
func (m *Membership) chooseOnRing(ring int) {
	next, previous := m.adjacent(m.positions[ring], ring, nil)
	ahead, behind := ^uint64(0), ^uint64(0)
	if next != nil {
		next.neighbour, previous.neighbour = true, true
		ahead, behind = next.positions[ring]-m.positions[ring], m.positions[ring]-previous.positions[ring]
	}
	for _, p := range m.peers {
		if !m.onRings(p) && (p.positions[ring]-m.positions[ring] < ahead || m.positions[ring]-p.positions[ring] < behind) {
			p.absentNeighbour = true
		}
	}
}

// nextTo finds the daemons that follow and precede a position of a ring, other
// than one; nil where there are none.
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

// watchers lists the neighbours of a peer, as far as this daemon knows: they
// hear it.
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

// watches says whether this daemon judges a peer by its silence: it should hear
// its heartbeats.
func (m *Membership) watches(p *peer) bool {
	return !m.rings.enabled || p.neighbour || (p.entry.Watched && p.watchedSince > 0)
}

// silence is for how long a peer that this daemon watches was not heard.
func (m *Membership) silence(now time.Duration, p *peer) time.Duration {
	heard := p.lastHeard
	if m.rings.enabled {
		heard = max(heard, p.neighbourSince)
	}
	return now - heard
}

// Large says whether the fleet is so large that each daemon watches a few
// neighbours, instead of all others.
func (m *Membership) Large() bool { return m.rings.enabled }
