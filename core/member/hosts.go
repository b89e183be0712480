package member

import (
	"time"
)

// MergeHosts merges the host list. A host that is listed as leaving is leaving; a
// daemon missing from the list is not declared dead for that alone.
func (m *Membership) MergeHosts(now time.Duration, hosts []Host) []Action {
	for _, name := range m.order {
		p := m.peers[name]
		p.listed, p.listedLeaving = false, false
	}
	for _, h := range hosts {
		if h.Name == m.self.Process.Daemon {
			continue
		}
		p := m.peerNamed(now, h.Name)
		if p == nil {
			continue
		}
		p.listed, p.listedLeaving = true, h.Leaving
		if !p.seen {
			p.entry.Domain, p.entry.Address = h.Domain, h.Address
		}
	}
	for _, name := range m.order {
		m.reportState(m.peers[name], "host list")
	}
	if m.rings.neighboursStale {
		// New neighbours should not wait for the next regular heartbeats.
		m.chooseNeighbours(now)
		m.expediteUpdates()
	}
	return m.flush()
}
