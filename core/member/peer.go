package member

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// peer is the state kept for one other daemon.
type peer struct {
	entry Entry
	// seen is set once a message from or about the daemon has arrived.
	seen bool
	// lastHeard is when the newest evidence that the daemon runs arrived;
	// lastDirect is when a message last arrived from the daemon itself.
	lastHeard  time.Duration
	lastDirect time.Duration
	// stateSince is when entry.State was set.
	stateSince time.Duration
	// announcedLeave is set once the daemon itself, in this incarnation, announced
	// that it is leaving.
	announcedLeave bool
	// listed and listedLeaving come from the host list.
	listed        bool
	listedLeaving bool
	// reported is the state of the last Changed action.
	reported State
	// reviveAt is when a dead daemon is next sent a message; askedAt is when
	// indirect probes of the daemon were last requested.
	reviveAt time.Duration
	askedAt  time.Duration
	// suspectedLocally is set, in Partial mode, on a daemon that this daemon's own
	// probes made suspect: this daemon continues to probe it, and decides.
	suspectedLocally bool

	ringState
}

// peerNamed returns the peer of that name, adding it if needed. It returns nil if
// the name is empty or Config.MaxMembers is reached.
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

// state returns a peer's state, Leaving taken into account.
func (p *peer) state() State {
	leaving := p.announcedLeave || p.listedLeaving
	if leaving && p.entry.State != Dead && p.entry.State != Partitioned {
		return Leaving
	}
	return p.entry.State
}

// reportState emits a Changed action if a peer's state changed.
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

// set changes entry.State of a peer and spreads the update.
func (m *Membership) set(now time.Duration, p *peer, s State, reason string) {
	if p.entry.State != s {
		p.entry.State = s
		m.rings.neighboursStale = true
		p.stateSince = now
		p.suspectedLocally = false
		if p.seen && !(m.rings.enabled && m.isolated && s == Partitioned) {
			// That an isolated daemon can't reach a peer is no information for the others.
			m.enqueue(p.entry)
		}
	}
	m.reportState(p, reason)
}

// compareNames orders entries by daemon.
func compareNames(a, b Entry) int {
	return strings.Compare(string(a.Process.Daemon), string(b.Process.Daemon))
}
