package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/freshness"
)

// LocalStatus is the status that a daemon reports about itself to the others.
type LocalStatus struct {
	Revision uint64
	InFlight int
	Settings uint64
	// Watched is set while other daemons wait for this one.
	Watched bool
	// Linked is set while the daemon keeps connections to all others, since it may
	// have to reach them at once.
	Linked bool
	// StoreLost is set while the platform's store does not respond to this daemon.
	StoreLost bool
	// Stale is set while its configuration may be too old to take keys.
	Stale bool
	// Proof of a configuration's freshness is sent with each message; nil for
	// none.
	Proof *freshness.Proof
	// ConfigVersion is that of the configuration in force; it is sent with each message.
	ConfigVersion uint64
}

// SetLocalStatus sets the status that the next messages report.
func (m *Membership) SetLocalStatus(l LocalStatus) {
	if m.rings.enabled && (l.Revision == 0) != (m.self.Revision == 0) {
		// Its eligibility for duties has changed.
		m.expediteUpdates()
	}
	m.self.Revision = l.Revision
	m.self.InFlight = l.InFlight
	m.self.Settings = l.Settings
	m.rings.wantsWatched = l.Watched && m.cfg.WatchedPeriod > 0
	m.rings.linked = l.Linked
	if !m.rings.enabled {
		m.updateWatched(m.lastBeat)
	}
	if l.StoreLost != m.self.StoreLost {
		m.expediteHeartbeat()
	}
	m.self.StoreLost = l.StoreLost
	if l.Stale != m.self.Stale {
		m.expediteHeartbeat()
	}
	m.self.Stale = l.Stale
	m.proof = l.Proof
	m.configVersion = l.ConfigVersion
}

// expediteHeartbeat brings the next heartbeats forward to the base period, since
// other daemons act on the changed status.
func (m *Membership) expediteHeartbeat() {
	m.nextBeat = min(m.nextBeat, m.lastBeat+m.basePeriod())
	if m.rings.enabled {
		m.expediteUpdates()
	}
}

// Leave announces that this daemon is about to stop.
func (m *Membership) Leave(now time.Duration) []Action {
	m.leaving = true
	if !m.halted {
		m.self.State = Leaving
	}
	m.expediteHeartbeat()
	m.enqueue(m.self)
	return m.flush()
}

// Resume confirms that this daemon has stopped acting on all that it held before
// DeclaredDead. It is alive in a new epoch, which the next messages announce.
func (m *Membership) Resume(now time.Duration) []Action {
	if !m.halted {
		return nil
	}
	m.halted = false
	m.self.Epoch++
	m.self.State = Alive
	if m.leaving {
		m.self.State = Leaving
	}
	m.enqueue(m.self)
	return m.flush()
}

// Halted reports whether this daemon must not act, between DeclaredDead and Resume.
func (m *Membership) Halted() bool { return m.halted }

// Isolated reports whether this daemon has lost most of the fleet at once.
func (m *Membership) Isolated() bool { return m.isolated }
