package member

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Self returns this daemon's own entry.
func (m *Membership) Self() Entry { return m.self }

// View lists all known daemons, including this one, sorted by name, each with its
// state as this daemon sees it.
func (m *Membership) View() []Entry {
	out := []Entry{m.self}
	for _, name := range m.order {
		p := m.peers[name]
		e := p.entry
		e.State = p.state()
		out = append(out, e)
	}
	slices.SortFunc(out, compareNames)
	return out
}

// Live lists, sorted by name, the daemons that duties are distributed over: the
// alive ones, and this daemon unless it is leaving or halted. A suspect daemon is
// left out: a pool whose owner is silent gets no grants, and a duty that moved
// needlessly moves back at the cost of a few messages.
func (m *Membership) Live() []id.Daemon {
	var out []id.Daemon
	for _, e := range m.View() {
		own := e.Process.Daemon == m.self.Process.Daemon
		seen := own || m.peers[e.Process.Daemon].seen
		if seen && e.State == Alive {
			out = append(out, e.Process.Daemon)
		}
	}
	return out
}

// Ready lists the daemons of Live that have a configuration: a daemon that has just
// started can't take a duty yet.
func (m *Membership) Ready() []id.Daemon {
	var out []id.Daemon
	for _, name := range m.Live() {
		e, _ := m.Get(name)
		if e.Revision > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Get returns a daemon's entry as this daemon sees it.
func (m *Membership) Get(name id.Daemon) (Entry, bool) {
	if name == m.self.Process.Daemon {
		return m.self, true
	}
	p, ok := m.peers[name]
	if !ok {
		return Entry{}, false
	}
	e := p.entry
	e.State = p.state()
	return e, true
}

// Silence returns the time since a message last arrived directly from the daemon.
// It also grows while one direction of the path is lost and the daemon is alive.
// For an unknown daemon it returns Config.ForgetAfter.
func (m *Membership) Silence(now time.Duration, name id.Daemon) time.Duration {
	p, ok := m.peers[name]
	if !ok {
		return m.cfg.ForgetAfter
	}
	return now - p.lastDirect
}

// Revision returns the highest configuration revision known to be in force at any
// daemon.
func (m *Membership) Revision() uint64 {
	rev := m.self.Revision
	for _, name := range m.order {
		rev = max(rev, m.peers[name].entry.Revision)
	}
	return rev
}
