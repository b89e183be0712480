package member

import (
	"math/bits"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Bounds of the Partial mode.
const (
	// resultWindow is how many of this daemon's own latest probes decide whether
	// it is isolated.
	resultWindow = 8
	// spreadFactor times the binary logarithm of the fleet's size is how many
	// times an update is sent.
	spreadFactor = 3
)

// partial is the state used only in Partial mode.
type partial struct {
	// round holds the daemons still to be probed in this round, shuffled.
	round  []id.Daemon
	probes []probe
	// results holds the success of the latest probes.
	results   []bool
	queue     updateQueue
	view      []viewSlot
	sentNames []id.Daemon
	shuffleAt time.Duration
	reviveAt  time.Duration
	syncAt    time.Duration
}

// probe is one probe in flight.
type probe struct {
	seq    uint64
	target id.Daemon
	// indirect is set once indirect probes were requested.
	indirect bool
	deadline time.Duration
}

// viewSlot is one slot of the partial view that shuffles exchange.
type viewSlot struct {
	name id.Daemon
	age  int
}

func newPartial(now time.Duration) partial {
	return partial{shuffleAt: now, reviveAt: now, syncAt: now}
}

func (s *partial) next() time.Duration {
	next := time.Duration(1<<63 - 1)
	for _, p := range s.probes {
		next = min(next, p.deadline)
	}
	return next
}

func (s *partial) shift(late time.Duration) {
	for i := range s.probes {
		s.probes[i].deadline += late
	}
}

// acked completes a probe as successful.
func (s *partial) acked(name id.Daemon, seq uint64) {
	for i, p := range s.probes {
		if p.seq == seq && p.target == name {
			s.probes = slices.Delete(s.probes, i, i+1)
			s.recordResult(true)
			return
		}
	}
}

func (s *partial) recordResult(ok bool) {
	s.results = append(s.results, ok)
	if over := len(s.results) - resultWindow; over > 0 {
		s.results = slices.Delete(s.results, 0, over)
	}
}

// failing reports whether most of this daemon's latest probes failed.
func (s *partial) failing() bool {
	failed := 0
	for _, ok := range s.results {
		if !ok {
			failed++
		}
	}
	return failed >= minPartition && 2*failed > len(s.results)
}

// probeNext probes the next daemon of a shuffled round over all daemons that are
// not dead.
func (m *Membership) probeNext(now time.Duration) {
	p := m.nextTarget()
	if p == nil {
		return
	}
	m.seq++
	ends := now + m.cfg.ProbeTimeout
	m.partial.probes = append(m.partial.probes, probe{seq: m.seq, target: p.entry.Process.Daemon, deadline: ends})
	m.send(p, Message{Kind: Probe, Seq: m.seq, Entries: m.takeUpdates()})
}

func (m *Membership) nextTarget() *peer {
	s := &m.partial
	if len(s.round) == 0 {
		s.round = slices.Clone(m.order)
		m.rng.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
	}
	for len(s.round) > 0 {
		p := m.peers[s.round[0]]
		s.round = s.round[1:]
		if p != nil && p.entry.State != Dead {
			return p
		}
	}
	return nil
}

// probeDead sends a probe to one random dead daemon every Config.ReviveEvery.
func (m *Membership) probeDead(now time.Duration) {
	if now < m.partial.reviveAt {
		return
	}
	m.partial.reviveAt = now + m.cfg.ReviveEvery
	var dead []*peer
	for _, name := range m.order {
		if p := m.peers[name]; p.entry.State == Dead {
			dead = append(dead, p)
		}
	}
	if len(dead) > 0 {
		m.send(dead[m.rng.IntN(len(dead))], Message{Kind: Probe})
	}
}

// expireProbes requests indirect probes of daemons that did not respond in time,
// and fails the probe if these bring no evidence either.
func (m *Membership) expireProbes(now time.Duration) {
	s := &m.partial
	pending := s.probes
	s.probes = nil
	for _, pr := range pending {
		p := m.peers[pr.target]
		switch {
		case p == nil:
		case now < pr.deadline:
			s.probes = append(s.probes, pr)
		case !pr.indirect:
			m.requestIndirectProbe(now, p)
			pr.indirect = true
			pr.deadline = now + m.cfg.IndirectTimeout
			s.probes = append(s.probes, pr)
		default:
			m.probeFailed(now, p)
		}
	}
}

// probeFailed completes a probe without an Ack; a Report may have arrived in the
// meantime.
func (m *Membership) probeFailed(now time.Duration, p *peer) {
	wait := m.cfg.ProbeTimeout + m.cfg.IndirectTimeout
	if p.seen && now-p.lastHeard < wait {
		m.partial.recordResult(true)
		return
	}
	if !p.seen {
		m.set(now, p, Dead, "listed but never heard from")
		return
	}
	m.partial.recordResult(false)
	if p.entry.State == Alive || p.entry.State == Paused {
		m.set(now, p, Suspect, "no reply to probes")
		p.suspectedLocally = true
	}
}

// probeSuspects probes, each period, every daemon that this daemon has made
// suspect, and one more of the same failure domain. So a suspicion ends after a
// short pause of the daemon, and a domain that is cut off is distinguished from a
// dead daemon.
func (m *Membership) probeSuspects(now time.Duration) {
	for _, name := range m.order {
		p := m.peers[name]
		if !p.suspectedLocally || p.entry.State != Suspect {
			continue
		}
		m.send(p, Message{Kind: Probe})
		if others := m.domainPeers(p); len(others) > 0 {
			m.send(others[m.rng.IntN(len(others))], Message{Kind: Probe})
		}
	}
}

// gossips reports whether updates are spread from daemon to daemon.
func (m *Membership) gossips() bool { return m.cfg.Mode == Partial || m.rings.enabled }

// enqueue queues an update for the next messages.
func (m *Membership) enqueue(e Entry) {
	if !m.gossips() || m.mergingSync {
		return
	}
	if m.rings.enabled {
		m.enqueueUpdate(e)
		return
	}
	m.partial.queue.add(e)
}

// takeUpdates returns the updates to piggyback on one message. Each is sent often
// enough to reach all daemons.
func (m *Membership) takeUpdates() []Entry {
	return m.partial.queue.take(m.cfg.MaxUpdates, spreadFactor*bits.Len(uint(len(m.order)+1)))
}
