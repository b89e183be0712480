package member

import "time"

// sendHeartbeats sends a heartbeat to every daemon that is not dead, and one every
// Config.ReviveEvery to the dead, so that a returning daemon learns that it was
// declared dead.
func (m *Membership) sendHeartbeats(now time.Duration) {
	var sample []Entry
	if m.cfg.SampleEvery > 0 && m.self.Beat%m.cfg.SampleEvery == 0 {
		sample = m.sample(1)
	}
	m.seenPeers = 0
	for _, name := range m.order {
		p := m.peers[name]
		if p.entry.State == Dead && now < p.reviveAt {
			continue
		}
		p.reviveAt = now + m.cfg.ReviveEvery
		if p.seen && p.entry.State != Dead {
			m.seenPeers++
		}
		// A peer that knows of more daemons may already watch only a few neighbours.
		m.send(p, Message{Kind: Heartbeat, Watching: m.cfg.MaxMeshPeers > 0, Entries: append([]Entry(nil), sample...)})
	}
}

// requestIndirectProbe asks a few peers about a silent daemon, once per period: if
// only one direction of one path is lost, they have heard from it.
func (m *Membership) requestIndirectProbe(now time.Duration, p *peer) {
	if now-p.askedAt < m.cfg.Period || !p.seen {
		return
	}
	p.askedAt = now
	for _, helper := range m.helpers(p, m.cfg.IndirectProbes) {
		m.seq++
		m.send(helper, Message{Kind: ProbeRequest, Seq: m.seq, About: p.entry.Process.Daemon})
	}
}

// helpers chooses up to n alive peers other than p at random.
func (m *Membership) helpers(p *peer, n int) []*peer {
	candidates := make([]*peer, 0, len(m.order))
	if m.rings.enabled {
		candidates = m.watchers(p)
	} else {
		for _, name := range m.order {
			candidates = append(candidates, m.peers[name])
		}
	}
	var alive []*peer
	for _, q := range candidates {
		if q != p && q.seen && q.entry.State == Alive {
			alive = append(alive, q)
		}
	}
	m.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// sample selects up to n entries of alive peers at random.
func (m *Membership) sample(n int) []Entry {
	var out []Entry
	for range min(3*n, len(m.order)) {
		p := m.peers[m.order[m.rng.IntN(len(m.order))]]
		if p.seen && p.entry.State == Alive && len(out) < n {
			out = append(out, p.entry)
		}
	}
	return out
}

// onProbeRequest replies with recent evidence, or probes on the requester's behalf.
func (m *Membership) onProbeRequest(now time.Duration, requester *peer, msg Message) {
	p, ok := m.peers[msg.About]
	if !ok || !p.seen {
		return
	}
	if now-p.lastDirect <= 2*m.cfg.Period {
		m.send(requester, Message{Kind: Report, Seq: msg.Seq, About: msg.About, Entries: []Entry{p.entry}})
		return
	}
	m.seq++
	m.relays[m.seq] = relay{requester: requester.entry.Process.Daemon, seq: msg.Seq, target: msg.About, expires: now + m.cfg.DeadAfter}
	m.send(p, Message{Kind: Probe, Seq: m.seq})
}

// relayAck sends a Report for an Ack to the daemon that requested the probe. It
// reports whether the Ack belongs to such a probe.
func (m *Membership) relayAck(p *peer, msg Message) bool {
	r, ok := m.relays[msg.Seq]
	if !ok || r.target != p.entry.Process.Daemon {
		return false
	}
	delete(m.relays, msg.Seq)
	if requester, known := m.peers[r.requester]; known {
		m.send(requester, Message{Kind: Report, Seq: r.seq, About: r.target, Entries: []Entry{p.entry}})
	}
	return true
}

func (m *Membership) dropRelays(now time.Duration) {
	for seq, r := range m.relays {
		if now >= r.expires {
			delete(m.relays, seq)
		}
	}
}

// onAck handles the reply to a probe.
func (m *Membership) onAck(now time.Duration, p *peer, msg Message) {
	if m.relayAck(p, msg) {
		return
	}
	if m.cfg.Mode == Partial {
		m.partial.acked(p.entry.Process.Daemon, msg.Seq)
	}
}
