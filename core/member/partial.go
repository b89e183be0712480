package member

import (
	"math/bits"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Bounds of the Partial mode.
const (
	// resultWindow is how many of this daemon's own probes tell whether it is
	// cut off itself.
	resultWindow = 8
	// spreadFactor times the logarithm of the fleet's size is how often an
	// update is sent on.
	spreadFactor = 3
)

// partial is the state that only the Partial mode has.
type partial struct {
	// round holds the daemons still to be probed in this round, shuffled.
	round  []id.Daemon
	probes []probe
	// results holds the newest probes' success.
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
	// indirect is set once peers were asked.
	indirect bool
	deadline time.Duration
}

// neighbour is one slot of the sample that shuffles exchange.
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

// acked ends a probe well.
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

// failing tells whether most of this daemon's newest probes failed.
func (s *partial) failing() bool {
	failed := 0
	for _, ok := range s.results {
		if !ok {
			failed++
		}
	}
	return failed >= minPartition && 2*failed > len(s.results)
}

// probeNext probes the next daemon of a shuffled round over all that are not dead.
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

// reviveOne sends a probe to one dead daemon now and then.
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

// expireProbes asks peers about daemons that did not answer, then suspects them.
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

// probeFailed ends a probe without an Ack; a Report may have come meanwhile.
func (m *Membership) probeFailed(now time.Duration, p *peer) {
	wait := m.cfg.ProbeTimeout + m.cfg.IndirectTimeout
	if p.seen && now-p.lastHeard < wait {
		m.partial.recordResult(true)
		return
	}
	if !p.seen {
		m.set(now, p, Dead, "listed and never heard")
		return
	}
	m.partial.recordResult(false)
	if p.entry.State == Alive || p.entry.State == Paused {
		m.set(now, p, Suspect, "no answer")
		p.suspectedLocally = true
	}
}

// probeSuspects probes, each period, whom this daemon has made suspect, and
// one more of the same failure domain: so a short pause ends the suspicion,
// and a domain that is cut off is told from a dead daemon.
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

// gossips says whether changes are told from daemon to daemon.
func (m *Membership) gossips() bool { return m.cfg.Mode == Partial || m.rings.enabled }

// enqueue has news sent on with the next messages.
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

// updates is what goes with one message, until all have heard of it.
func (m *Membership) takeUpdates() []Entry {
	return m.partial.queue.take(m.cfg.MaxUpdates, spreadFactor*bits.Len(uint(len(m.order)+1)))
}
