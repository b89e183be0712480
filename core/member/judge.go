package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// minGroup is the fewest daemons whose joint silence is a partition.
const minGroup = 2

// judge moves the silent along: suspect, then dead or partitioned.
func (m *Membership) judge(now time.Duration) {
	m.judgeSelf(now)
	for _, name := range m.order {
		m.judgePeer(now, m.peers[name])
	}
	m.forgetOld(now)
}

// silent tells whether a peer that counts has been silent long enough to suspect it.
func (m *Membership) silent(now time.Duration, p *peer) bool {
	if m.cfg.Mode == Partial {
		return p.entry.State == Suspect || p.entry.State == Partitioned
	}
	return now-p.heard >= m.suspectAfter(p)
}

// judgeSelf finds out whether this daemon has lost most of the fleet at once.
func (m *Membership) judgeSelf(now time.Duration) {
	known, lost := 0, 0
	for _, name := range m.order {
		p := m.peers[name]
		if !p.met || p.entry.State == Dead {
			continue
		}
		known++
		if m.silent(now, p) {
			lost++
		}
	}
	isolated := lost >= minGroup && 2*lost > known
	if m.cfg.Mode == Partial {
		isolated = m.partial.failing()
	}
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	m.emit(Action{Isolated: &Isolated{Now: isolated, Silent: lost, Known: known}})
}

// judgePeer applies the time limits to one peer.
func (m *Membership) judgePeer(now time.Duration, p *peer) {
	switch p.entry.State {
	case Dead:
	case Partitioned:
		if now-p.since >= m.cfg.PartitionedFor {
			m.set(now, p, Dead, "partitioned for too long")
		}
	default:
		m.judgeSilence(now, p)
	}
}

func (m *Membership) judgeSilence(now time.Duration, p *peer) {
	if m.cfg.Mode == Partial {
		m.judgeSuspect(now, p)
		return
	}
	silence := now - p.heard
	if silence < m.suspectAfter(p) {
		return
	}
	if p.entry.State == Alive {
		m.set(now, p, Suspect, "silent")
	}
	m.askAbout(now, p)
	if silence >= m.deadAfter(p) {
		m.giveUp(now, p)
	}
}

// judgeSuspect, in Partial mode, lets a suspicion run out. Whoever raised it
// has gone on probing and judges; the others wait for its word, and give up on
// their own only if it does not come.
func (m *Membership) judgeSuspect(now time.Duration, p *peer) {
	if !p.met || p.entry.State != Suspect {
		return
	}
	limit := m.cfg.DeadAfter - m.cfg.SuspectAfter
	if !p.mine {
		limit += 2 * m.cfg.DeadAfter
	}
	if now-p.since >= limit {
		m.giveUp(now, p)
	}
}

// giveUp decides between dead and partitioned.
func (m *Membership) giveUp(now time.Duration, p *peer) {
	switch {
	case !p.met:
		m.set(now, p, Dead, "listed and never heard")
	case m.isolated:
		m.set(now, p, Partitioned, "silent with most of the fleet")
	case m.domainSilent(now, p):
		m.set(now, p, Partitioned, "silent with its failure domain")
	default:
		m.set(now, p, Dead, "silent")
	}
	p.revive = now + m.cfg.ReviveEvery
}

// domainSilent tells whether the other daemons of a silent one's failure
// domain, which is not this daemon's own, are silent with it.
func (m *Membership) domainSilent(now time.Duration, p *peer) bool {
	if p.entry.Domain == m.self.Domain {
		return false
	}
	known, lost := 1, 1
	for _, q := range m.neighboursOf(p) {
		known++
		if m.silentSince(now, p, q) {
			lost++
		}
	}
	if m.cfg.Mode == Partial {
		return lost >= minGroup && lost == known
	}
	return lost >= minGroup && float64(lost) >= m.cfg.DomainShare*float64(known)
}

// silentSince tells whether q, of p's failure domain, is silent as well. In
// Partial mode the probes of probeSuspects tell.
func (m *Membership) silentSince(now time.Duration, p, q *peer) bool {
	if m.cfg.Mode == Partial {
		return q.direct < p.since
	}
	return m.silent(now, q)
}

// neighboursOf lists the other daemons of p's failure domain that should be heard.
func (m *Membership) neighboursOf(p *peer) []*peer {
	var out []*peer
	for _, name := range m.order {
		q := m.peers[name]
		counts := q != p && q.met && q.entry.Domain == p.entry.Domain
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
		if p.entry.State == Dead && !p.listed && now-p.since >= m.cfg.Forget {
			old = append(old, name)
		}
	}
	for _, name := range old {
		m.forget(name)
	}
}
