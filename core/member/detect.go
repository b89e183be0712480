package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// minGroup is the fewest daemons whose joint silence is a partition.
const minPartition = 2

// judge moves the silent along: suspect, then dead or partitioned.
func (m *Membership) detectFailures(now time.Duration) {
	m.detectIsolation(now)
	for _, name := range m.order {
		m.checkPeer(now, m.peers[name])
	}
	m.forgetOld(now)
}

// silent tells whether a peer that counts has been silent long enough to suspect it.
func (m *Membership) silent(now time.Duration, p *peer) bool {
	if m.cfg.Mode == Partial || !m.watches(p) {
		return p.entry.State == Suspect || p.entry.State == Partitioned
	}
	return m.silence(now, p) >= m.suspectAfter(p)
}

// judgeSelf finds out whether this daemon has lost most of the fleet at once.
func (m *Membership) detectIsolation(now time.Duration) {
	all, near := m.countLost(now)
	isolated := all.mostLost() || near.mostLost()
	switch {
	case m.cfg.Mode == Partial:
		isolated = m.partial.failing()
	case m.rings.enabled && m.isolated && (2*near.reached <= near.known || all.remote > 0 && near.reachedRemote == 0):
		// Those it lost were replaced by others, which it has not heard either, or by
		// those of its own failure domain, which may be cut off as a whole.
		isolated = true
	}
	if isolated == m.isolated {
		return
	}
	m.isolated, m.isolatedAt = isolated, now
	m.rings.neighboursStale = true
	m.rings.rejoinUntil = 0
	if !isolated {
		// What the others found out meanwhile is to be learnt.
		m.rings.rejoinUntil = now + rejoinFor
	}
	m.emit(Action{Isolated: &Isolated{Now: isolated, Silent: all.lost, Known: all.known}})
}

// group counts the daemons of a group, those of them that are silent, and those
// that were heard since this daemon was isolated; beyond and reachedBeyond are
// those in other failure domains.
type group struct{ known, lost, reached, remote, reachedRemote int }

func (g *group) add(lost, reached, beyond bool) {
	g.known++
	g.lost += boolToInt(lost)
	g.reached += boolToInt(reached)
	g.remote += boolToInt(beyond)
	g.reachedRemote += boolToInt(reached && beyond)
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// most says whether more than half of a group is lost.
func (g group) mostLost() bool { return g.lost >= minPartition && 2*g.lost > g.known }

// countLost counts all that were heard of, and this daemon's neighbours.
func (m *Membership) countLost(now time.Duration) (all, near group) {
	for _, name := range m.order {
		p := m.peers[name]
		if !p.seen || p.entry.State == Dead {
			continue
		}
		lost := m.silent(now, p)
		reached := !lost && p.lastDirect > m.isolatedAt
		beyond := p.entry.Domain != m.self.Domain
		all.add(lost, reached, beyond)
		if p.neighbour {
			near.add(lost, reached, beyond)
		}
	}
	return all, near
}

// judgePeer applies the time limits to one peer.
func (m *Membership) checkPeer(now time.Duration, p *peer) {
	switch p.entry.State {
	case Dead:
	case Partitioned:
		if now-p.stateSince >= m.cfg.PartitionedFor {
			m.set(now, p, Dead, "partitioned for too long")
		}
	default:
		m.checkSilence(now, p)
	}
}

func (m *Membership) checkSilence(now time.Duration, p *peer) {
	if m.cfg.Mode == Partial {
		m.checkSuspect(now, p)
		return
	}
	if !m.watches(p) {
		m.checkUnwatched(now, p)
		return
	}
	silence, suspectAfter := m.silence(now, p), m.suspectAfter(p)
	askAfter := suspectAfter
	if m.rings.enabled {
		// Its other neighbours may have heard it: nobody else then learns of a
		// suspicion that is none.
		askAfter /= 2
	}
	if silence >= askAfter {
		m.requestIndirectProbe(now, p)
	}
	if silence < suspectAfter {
		return
	}
	if p.entry.State == Alive {
		m.set(now, p, Suspect, "silent")
	}
	if m.cutOff(p) || silence >= m.deadAfter(p) {
		m.declareLost(now, p)
	}
}

// cutOff says whether a peer is one of those that this daemon, isolated in a
// large fleet, has not heard since. There are many to find out about, a few at a
// time.
func (m *Membership) cutOff(p *peer) bool {
	return m.rings.enabled && m.isolated && p.lastDirect < m.isolatedAt
}

// judgeSuspect, in Partial mode, lets a suspicion run out. Whoever raised it
// has gone on probing and judges; the others wait for its word, and give up on
// their own only if it does not come.
func (m *Membership) checkSuspect(now time.Duration, p *peer) {
	if !p.seen || p.entry.State != Suspect {
		return
	}
	limit := m.cfg.DeadAfter - m.cfg.SuspectAfter
	if !p.suspectedLocally {
		limit += 2 * m.cfg.DeadAfter
	}
	if now-p.stateSince >= limit {
		m.declareLost(now, p)
	}
}

// giveUp decides between dead and partitioned.
func (m *Membership) declareLost(now time.Duration, p *peer) {
	switch {
	case !p.seen:
		m.set(now, p, Dead, "listed and never heard")
	case m.isolated:
		m.set(now, p, Partitioned, "silent with most of the fleet")
	case m.domainSilent(now, p):
		m.set(now, p, Partitioned, "silent with its failure domain")
	default:
		m.set(now, p, Dead, "silent")
	}
	p.reviveAt = now + m.cfg.ReviveEvery
}

// domainSilent tells whether the other daemons of a silent one's failure
// domain, which is not this daemon's own, are silent with it.
func (m *Membership) domainSilent(now time.Duration, p *peer) bool {
	if p.entry.Domain == m.self.Domain {
		return false
	}
	known, lost := 1, 1
	for _, q := range m.domainPeers(p) {
		known++
		if m.silentSince(now, p, q) {
			lost++
		}
	}
	if m.cfg.Mode == Partial {
		return lost >= minPartition && lost == known
	}
	return lost >= minPartition && float64(lost) >= m.cfg.DomainShare*float64(known)
}

// silentSince tells whether q, of p's failure domain, is silent as well. In
// Partial mode the probes of probeSuspects tell.
func (m *Membership) silentSince(now time.Duration, p, q *peer) bool {
	if m.cfg.Mode == Partial {
		return q.lastDirect < p.stateSince
	}
	return m.silent(now, q)
}

// neighboursOf lists the other daemons of p's failure domain that should be heard.
func (m *Membership) domainPeers(p *peer) []*peer {
	var out []*peer
	for _, name := range m.order {
		q := m.peers[name]
		counts := q != p && q.seen && q.entry.Domain == p.entry.Domain
		if counts && q.entry.State != Dead && q.state() != Leaving {
			out = append(out, q)
		}
	}
	return out
}

// forgetOld drops the dead that the host list lacks, after a long while.
func (m *Membership) forgetOld(now time.Duration) {
	var old []id.Daemon
	for _, name := range m.order {
		p := m.peers[name]
		if p.entry.State == Dead && !p.listed && now-p.stateSince >= m.cfg.Forget {
			old = append(old, name)
		}
	}
	for _, name := range old {
		m.forget(name)
	}
}
