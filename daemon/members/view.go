package members

import (
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
)

// view is an immutable copy of the membership.
type view struct {
	entries  []member.Entry
	byDaemon map[id.Daemon]member.Entry
	large    bool
	isolated bool
}

// Entries returns the entries of the view, this daemon's included, sorted by name.
func (m *Members) Entries() []member.Entry { return m.snapshot.Load().entries }

// Others returns the other daemons that are not dead.
func (m *Members) Others() []id.Daemon {
	var out []id.Daemon
	for _, e := range m.Entries() {
		if e.Process.Daemon != m.cfg.Self.Process.Daemon && e.State != member.Dead {
			out = append(out, e.Process.Daemon)
		}
	}
	return out
}

// Address returns a daemon's address, or an empty string if it is not known.
func (m *Members) Address(d id.Daemon) string { return m.snapshot.Load().byDaemon[d].Address }

// Large reports whether the fleet is so large that daemons exchange heartbeats only
// with their neighbours and are not connected to all others.
func (m *Members) Large() bool { return m.snapshot.Load().large }

// Isolated reports whether this daemon has lost most of the fleet at once.
func (m *Members) Isolated() bool { return m.snapshot.Load().isolated }

// Alive reports whether a process may still act, that is, whether it is not known
// to have ended.
func (m *Members) Alive(p id.Process) bool {
	e, ok := m.snapshot.Load().byDaemon[p.Daemon]
	if !ok {
		return false
	}
	return e.Process.Incarnation == p.Incarnation && e.State != member.Dead
}

// Known reports whether the membership contains a daemon.
func (m *Members) Known(d id.Daemon) bool {
	_, ok := m.snapshot.Load().byDaemon[d]
	return ok
}

func (m *Members) publish() {
	entries := m.core.View()
	v := &view{entries: entries, byDaemon: make(map[id.Daemon]member.Entry, len(entries)), large: m.core.UsesRings(), isolated: m.core.Isolated()}
	for _, e := range entries {
		v.byDaemon[e.Process.Daemon] = e
	}
	old := m.snapshot.Swap(v)
	if old != nil {
		m.notifyForgotten(old, v)
	}
}

// notifyForgotten notifies the listener of daemons that were removed.
func (m *Members) notifyForgotten(old, now *view) {
	for _, e := range old.entries {
		d := e.Process.Daemon
		if _, kept := now.byDaemon[d]; !kept {
			delete(m.reportedRevisions, d)
			m.cfg.Listener.Forgotten(d)
		}
	}
}

// notifyLive notifies the listener if the alive daemons that have a configuration
// have changed.
func (m *Members) notifyLive() {
	live := m.core.Ready()
	if slices.Equal(live, m.live) {
		return
	}
	m.live = live
	m.publish()
	m.cfg.Listener.Live(live)
}

func (m *Members) notifyRevision(e member.Entry) {
	d := e.Process.Daemon
	if m.reportedRevisions[d] == e.Revision {
		return
	}
	m.reportedRevisions[d] = e.Revision
	m.cfg.Listener.PeerRevision(d, e.Revision)
}
