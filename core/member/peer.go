package member

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// peer is what is known of one other daemon.
type peer struct {
	entry Entry
	// met is set once the daemon was heard of by a message.
	seen bool
	// heard is when the newest evidence of its running came; direct is when
	// it came from the daemon itself.
	lastHeard  time.Duration
	lastDirect time.Duration
	// since is when entry.State was set.
	stateSince time.Duration
	// said is set once the daemon itself, in this incarnation, said that it leaves.
	announcedLeave bool
	// listed and listedLeaving are the host list's word.
	listed        bool
	listedLeaving bool
	// shown is the state that was last reported.
	reported State
	// revive is when a dead daemon is sent a message again; asked when peers
	// were last asked about it.
	reviveAt time.Duration
	askedAt  time.Duration
	// mine is set, in Partial mode, on a daemon that this one's own probes
	// made suspect: this one probes on, and judges it.
	suspectedLocally bool

	ringState
}

// peerNamed returns the peer of that name, making it if there is room.
func (m *Membership) peerNamed(now time.Duration, name id.Daemon) *peer {
	if p, ok := m.peers[name]; ok {
		return p
	}
	if len(m.peers) >= m.cfg.MaxMembers || name == "" {
		return nil
	}
	p := &peer{lastHeard: now, lastDirect: now - m.cfg.DeadAfter, stateSince: now, reviveAt: now, askedAt: now - m.cfg.DeadAfter}
	p.entry = Entry{Process: id.Process{Daemon: name}, State: Suspect}
	p.positions = m.cfg.positions(name)
	m.rings.neighboursStale = true
	m.peers[name] = p
	at, _ := slices.BinarySearch(m.order, name)
	m.order = slices.Insert(m.order, at, name)
	return p
}

func (m *Membership) forget(name id.Daemon) {
	delete(m.peers, name)
	m.rings.neighboursStale = true
	if at, ok := slices.BinarySearch(m.order, name); ok {
		m.order = slices.Delete(m.order, at, at+1)
	}
}

// state is a peer's state with its leaving taken in.
func (p *peer) state() State {
	leaving := p.announcedLeave || p.listedLeaving
	if leaving && p.entry.State != Dead && p.entry.State != Partitioned {
		return Leaving
	}
	return p.entry.State
}

// show reports a peer's state if it changed.
func (m *Membership) reportState(p *peer, reason string) {
	to := p.state()
	if to == p.reported {
		return
	}
	from := p.reported
	p.reported = to
	if !p.seen && from == 0 && to == Suspect {
		return
	}
	m.emit(Action{Changed: &Changed{Process: p.entry.Process, Domain: p.entry.Domain, From: from, To: to, Reason: reason}})
}

// set changes a peer's own state and spreads the news.
func (m *Membership) set(now time.Duration, p *peer, s State, reason string) {
	if p.entry.State != s {
		p.entry.State = s
		m.rings.neighboursStale = true
		p.stateSince = now
		p.suspectedLocally = false
		if p.seen && !(m.rings.enabled && m.isolated && s == Partitioned) {
			// What one that is cut off can't reach says nothing to the others.
			m.enqueue(p.entry)
		}
	}
	m.reportState(p, reason)
}

// compareNames orders entries by daemon.
func compareNames(a, b Entry) int {
	return strings.Compare(string(a.Process.Daemon), string(b.Process.Daemon))
}
