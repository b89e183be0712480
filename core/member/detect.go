package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// minPartition is the minimum number of daemons whose joint silence counts as a
// partition.
const minPartition = 2

// detectFailures moves silent peers to suspect, then to dead or partitioned.
func (m *Membership) detectFailures(now time.Duration) {
	m.detectIsolation(now)
	for _, name := range m.order {
		m.checkPeer(now, m.peers[name])
	}
	m.forgetOld(now)
}

// silent reports whether a peer has been silent for long enough to suspect it. In
// Partial mode, and for a peer that is not watched, its state decides.
func (m *Membership) silent(now time.Duration, p *peer) bool {
	if m.cfg.Mode == Partial || !m.watches(p) {
		return p.entry.State == Suspect || p.entry.State == Partitioned
	}
	return m.silence(now, p) >= m.suspectAfter(p)
}

// detectIsolation determines whether this daemon has lost most of the fleet at once.
func (m *Membership) detectIsolation(now time.Duration) {
	all, neighbours := m.countLost(now)
	isolated := all.mostLost() || neighbours.mostLost()
	switch {
	case m.cfg.Mode == Partial:
		isolated = m.partial.failing()
	case m.rings.enabled && m.isolated && (2*neighbours.reached <= neighbours.known || all.remote > 0 && neighbours.reachedRemote == 0):
		// The lost neighbours were replaced by others that have not been heard either,
		// or by daemons of the own failure domain, which may be cut off as a whole.
		isolated = true
	}
	if isolated == m.isolated {
		return
	}
	m.isolated, m.isolatedAt = isolated, now
	m.rings.neighboursStale = true
	m.rings.rejoinUntil = 0
	if !isolated {
		// Fetches the state that the others have learnt in the meantime.
		m.rings.rejoinUntil = now + rejoinFor
	}
	m.emit(Action{Isolated: &Isolated{Now: isolated, Silent: all.lost, Known: all.known}})
}

// group counts the daemons of a group, the silent ones, and those heard since this
// daemon's isolation last changed; remote and reachedRemote count the daemons in
// other failure domains.
type group struct{ known, lost, reached, remote, reachedRemote int }

func (g *group) add(lost, reached, remote bool) {
	g.known++
	g.lost += boolToInt(lost)
	g.reached += boolToInt(reached)
	g.remote += boolToInt(remote)
	g.reachedRemote += boolToInt(reached && remote)
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// mostLost reports whether more than half of a group is lost.
func (g group) mostLost() bool { return g.lost >= minPartition && 2*g.lost > g.known }

// countLost counts all seen peers that are not dead, and the neighbours among them.
func (m *Membership) countLost(now time.Duration) (all, neighbours group) {
	for _, name := range m.order {
		p := m.peers[name]
		if !p.seen || p.entry.State == Dead {
			continue
		}
		lost := m.silent(now, p)
		reached := !lost && p.lastDirect > m.isolatedAt
		remote := p.entry.Domain != m.self.Domain
		all.add(lost, reached, remote)
		if p.neighbour {
			neighbours.add(lost, reached, remote)
		}
	}
	return all, neighbours
}

// checkPeer applies the timeouts to one peer.
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
	probeAfter := suspectAfter
	if m.rings.enabled {
		// Its other neighbours may have heard it: asking them early avoids spreading a
		// false suspicion.
		probeAfter /= 2
	}
	if silence >= probeAfter {
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

// cutOff reports whether this daemon, isolated in a large fleet, has not heard a
// peer since the isolation began. Such a peer is not given the full timeout: there
// are many, and only the few current neighbours are checked at a time.
func (m *Membership) cutOff(p *peer) bool {
	return m.rings.enabled && m.isolated && p.lastDirect < m.isolatedAt
}

// checkSuspect, in Partial mode, expires a suspicion. The daemon that raised it has
// continued to probe and decides; the others wait for its result, and decide on
// their own only after a longer timeout.
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

// declareLost sets a silent peer to dead or partitioned.
func (m *Membership) declareLost(now time.Duration, p *peer) {
	switch {
	case !p.seen:
		m.set(now, p, Dead, "listed but never heard from")
	case m.isolated:
		m.set(now, p, Partitioned, "silent with most of the fleet")
	case m.domainSilent(now, p):
		m.set(now, p, Partitioned, "silent with its failure domain")
	default:
		m.set(now, p, Dead, "silent")
	}
	p.reviveAt = now + m.cfg.ReviveEvery
}

// domainSilent reports whether the other daemons of a silent peer's failure domain
// are silent as well. It is false for this daemon's own failure domain.
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

// silentSince reports whether q, of p's failure domain, is silent as well. In
// Partial mode this follows from the probes of probeSuspects.
func (m *Membership) silentSince(now time.Duration, p, q *peer) bool {
	if m.cfg.Mode == Partial {
		return q.lastDirect < p.stateSince
	}
	return m.silent(now, q)
}

// domainPeers lists the other daemons of p's failure domain that are seen and
// neither dead nor leaving.
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

// forgetOld drops peers that have been dead for Config.ForgetAfter and are missing from
// the host list.
func (m *Membership) forgetOld(now time.Duration) {
	var old []id.Daemon
	for _, name := range m.order {
		p := m.peers[name]
		if p.entry.State == Dead && !p.listed && now-p.stateSince >= m.cfg.ForgetAfter {
			old = append(old, name)
		}
	}
	for _, name := range old {
		m.forget(name)
	}
}
