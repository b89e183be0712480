package member

import (
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
)

// Membership is one daemon's view of the fleet. It is not safe for concurrent use.
type Membership struct {
	cfg  Config
	rng  *rand.Rand
	self Entry
	// halted is set from DeclaredDead until Resume.
	halted  bool
	leaving bool
	proof   *freshness.Proof
	// configVersion is that of the configuration in force here.
	configVersion uint64

	peers map[id.Daemon]*peer
	// order holds the names of peers, sorted, so that results do not depend on
	// map iteration order.
	order []id.Daemon

	nextBeat time.Duration
	// nextCheck is when Tick is due at the latest, also between heartbeats that are
	// far apart: to detect failed peers, and stalls of this daemon's own process.
	nextCheck time.Duration
	// lastBeat is when the last heartbeats were sent; seenPeers counts the seen
	// peers at that time, without the dead ones and, on the rings, without those
	// that have no place there.
	lastBeat  time.Duration
	seenPeers int
	isolated  bool
	// isolatedAt is when isolated was set or cleared.
	isolatedAt time.Duration
	relays     map[uint64]relay
	seq        uint64
	actions    []Action
	// mergingSync is set while a SyncReply is merged: its entries are old and are
	// not sent on.
	mergingSync bool

	partial partial
	rings   rings
	// positions holds this daemon's own position on each ring.
	positions []uint64
}

// relay is an indirect probe that this daemon sent on behalf of another.
type relay struct {
	requester id.Daemon
	seq       uint64
	target    id.Daemon
	expires   time.Duration
}

// New returns the membership of the daemon self. Of self, Process, Domain and the
// addresses are used.
func New(cfg Config, self Entry, now time.Duration, rng *rand.Rand) *Membership {
	self.State = Alive
	return &Membership{
		cfg:       cfg,
		rng:       rng,
		self:      self,
		peers:     map[id.Daemon]*peer{},
		nextBeat:  now,
		nextCheck: now,
		relays:    map[uint64]relay{},
		partial:   newPartial(now),
		positions: cfg.positions(self.Process.Daemon),
	}
}

// Next returns the time when Tick is due.
func (m *Membership) Next() time.Duration {
	if m.cfg.Mode == Partial {
		return min(m.nextBeat, m.partial.next())
	}
	return min(m.nextBeat, m.nextCheck)
}

// Tick sends the messages that are due and runs failure detection.
func (m *Membership) Tick(now time.Duration) []Action {
	m.noteStall(now)
	m.updateWatched(now)
	if m.rings.neighboursStale {
		m.chooseNeighbours(now)
	}
	if now >= m.nextBeat {
		m.lastBeat = now
		period := m.ownPeriod()
		m.nextBeat = now + period
		m.self.Period = 0
		if period > m.basePeriod() {
			m.self.Period = period
		}
		m.self.Beat++
		m.dropRelays(now)
		m.runPeriod(now)
	}
	if m.cfg.Mode == Partial {
		m.expireProbes(now)
	}
	m.detectFailures(now)
	m.nextCheck = min(m.nextBeat, now+m.basePeriod())
	return m.flush()
}

// basePeriod returns the configured time between this daemon's heartbeats, which
// applies in a small fleet.
func (m *Membership) basePeriod() time.Duration { return m.cfg.periodOf(&m.self) }

// ownPeriod returns the time between this daemon's heartbeats. It is longer than
// basePeriod where the number of receivers would exceed the bound on heartbeats
// per second.
func (m *Membership) ownPeriod() time.Duration {
	maxRate := m.cfg.MaxHeartbeatsPerSecond
	if m.self.Watched {
		maxRate = m.cfg.MaxWatchedHeartbeatsPerSecond
	}
	if m.rings.enabled && !m.self.Watched {
		return max(m.basePeriod(), m.cfg.NeighbourPeriod)
	}
	if maxRate <= 0 || m.cfg.Mode != Mesh {
		return m.basePeriod()
	}
	bound := time.Duration(float64(m.seenPeers) / maxRate * float64(time.Second))
	return max(m.basePeriod(), min(bound, maxPeriodFactor*m.basePeriod()))
}

// ownDeadAfter returns the silence after which others declare this daemon dead.
func (m *Membership) ownDeadAfter() time.Duration { return m.cfg.deadAfter(&m.self) }

// suspectAfter and deadAfter return how long a peer may be silent before it is
// suspected or declared dead.
func (m *Membership) suspectAfter(p *peer) time.Duration { return m.cfg.suspectAfter(&p.entry) }
func (m *Membership) deadAfter(p *peer) time.Duration    { return m.cfg.deadAfter(&p.entry) }

func (m *Membership) runPeriod(now time.Duration) {
	if m.cfg.Mode == Partial {
		m.requestSync(now)
		m.probeSuspects(now)
		m.probeNext(now)
		m.shuffleView(now)
		m.probeDead(now)
		return
	}
	if m.rings.enabled {
		m.syncNeighbour(now)
		m.sendRingHeartbeats(now)
		return
	}
	m.sendHeartbeats(now)
}

// noteStall shifts all timers by the time that this daemon was not scheduled, so
// that no peer is suspected for it. After a stall in which others may have
// declared this daemon dead, it assumes that they did.
func (m *Membership) noteStall(now time.Duration) {
	late := now - m.nextCheck
	if late < m.cfg.StallAfter {
		return
	}
	for _, name := range m.order {
		p := m.peers[name]
		p.lastHeard += late
		p.lastDirect += late
		p.stateSince += late
		p.neighbourSince += late
	}
	m.partial.shift(late)
	m.emit(Action{Stalled: &Stalled{Late: late}})
	if late+2*m.ownPeriod() >= m.ownDeadAfter() {
		m.halt(m.self.Process.Daemon, false)
	}
}

func (m *Membership) halt(by id.Daemon, superseded bool) {
	if m.halted && !superseded {
		return
	}
	m.halted = true
	m.self.State = Paused
	m.emit(Action{DeclaredDead: &DeclaredDead{By: by, Superseded: superseded}})
}

func (m *Membership) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Membership) flush() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// send sends a message to a peer. A peer that this daemon does not consider alive
// receives its own entry with the message.
func (m *Membership) send(p *peer, msg Message) {
	if p.entry.Address == "" {
		return
	}
	msg.From = m.self
	msg.Proof = m.proof
	msg.ConfigVersion = m.configVersion
	if p.seen && m.mustNotify(p) {
		known := p.entry
		if known.State == Paused {
			// It has not yet responded to the declared death with a new epoch.
			known.State = Dead
		}
		msg.Entries = append(msg.Entries, known)
	}
	m.emit(Action{Send: &Send{To: p.entry.Process.Daemon, Address: p.entry.Address, Message: msg}})
}

// mustNotify reports whether a peer must receive the state that this daemon holds
// for it.
func (m *Membership) mustNotify(p *peer) bool {
	switch p.entry.State {
	case Dead, Paused:
		return true
	case Suspect, Partitioned:
		return m.gossips()
	default:
		return false
	}
}
