package broker

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// ringSize bounds the events that are queued for the duty.
const ringSize = 4096

// Config configures a Broker.
type Config struct {
	Self id.Process
	// Local makes this daemon the owner of every pool, for policies without an owner.
	Local bool
	// NewManager creates the manager of a pool that this daemon owns.
	NewManager func(p id.Pool) *pool.Manager
	Sender     Sender
	// Poison holds the evidence against requests that crash endpoints.
	Poison *poison.Ledger
	// Spread sends this daemon's own new evidence to all other daemons. Relay forwards
	// new evidence from others to a few daemons, to reach those that the first sending
	// missed.
	Spread func(s poison.State)
	Relay  func(s poison.State)
	// OwnerChanged, if set, is called when an owner of a pool of calls stops or starts
	// answering.
	OwnerChanged func(c pairing.OwnerChange)
	// Epoch is the wall clock time at time zero of Now.
	Epoch time.Time
	// OnDelay, if set, is called with the time for which work waited for the broker.
	OnDelay func(late time.Duration)
	Metrics *metrics.Registry
	// Now is the time since the daemon's start.
	Now func() time.Duration
	// Ready delays the start of the duty until it is closed.
	Ready <-chan struct{}
}

// Broker pairs requests with endpoints.
type Broker struct {
	cfg       Config
	duty      *duty.Duty
	requester *pairing.Requester
	managers  map[id.Pool]*pool.Manager
	doc       *live.Document
	// configured holds the pools of doc; other pools get no manager.
	configured map[id.Pool]bool
	waiting    map[id.Request]chan<- pairing.Answer
	// bindings holds, by request, the channel that delivers the binding of a
	// provisional grant.
	bindings map[id.Request]chan sched.Binding
	// learned holds what owners have learned of pools that this daemon may own next;
	// tellAt is when this daemon tells others next.
	learned      map[id.Pool]learnedAt
	tellAt       time.Duration
	lostMessages *metrics.Counter
	unknownPools *metrics.Counter
	// evidence is pending for other daemons and is sent at spreadAt or later.
	evidence *evidence
	spreadAt time.Duration
}

// New returns a Broker and starts its duty.
func New(cfg Config) *Broker {
	b := &Broker{
		cfg:          cfg,
		requester:    pairing.New(cfg.Self, pairing.Options{Local: cfg.Local}),
		managers:     make(map[id.Pool]*pool.Manager),
		doc:          &live.Document{},
		waiting:      make(map[id.Request]chan<- pairing.Answer),
		bindings:     make(map[id.Request]chan sched.Binding),
		learned:      make(map[id.Pool]learnedAt),
		evidence:     &evidence{ledger: cfg.Poison},
		lostMessages: cfg.Metrics.Counter("broker_messages_lost", metrics.UnitCount, "messages to other daemons that could not be queued"),
	}
	b.unknownPools = cfg.Metrics.Counter("broker_unknown_pool", metrics.UnitCount, "messages about pools that are not in this daemon's configuration")
	b.duty = duty.Start(duty.Config{Name: "broker", Ring: ringSize, Now: cfg.Now, Tick: b.tick, OnDelay: cfg.OnDelay, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return b
}

// Close stops the duty.
func (b *Broker) Close() { b.duty.Close() }

// tick performs the actions that are due and returns the time of the next one.
func (b *Broker) tick(now time.Duration) time.Duration {
	b.output(now, b.requester.Tick(now))
	next := b.requester.Next()
	for _, p := range b.sortedPools() {
		m := b.managers[p]
		if m.Next() <= now {
			b.actions(now, p, m.Tick(now))
		}
		next = min(next, m.Next())
	}
	return min(next, b.spread(now), b.tellLearned(now))
}

// spreadInterval is the interval at which evidence is sent, in batches. It is well
// below the time for which a verdict waits for reports from other daemons.
const spreadInterval = 250 * time.Millisecond

// spread sends the evidence that is new since the last call, and returns the time of
// the next call.
func (b *Broker) spread(now time.Duration) time.Duration {
	if !b.evidence.pending() {
		return duty.Never
	}
	if now < b.spreadAt {
		return b.spreadAt
	}
	b.spreadAt = now + spreadInterval
	own, learnt := b.evidence.take()
	if !empty(own) {
		b.cfg.Spread(own)
	}
	if !empty(learnt) {
		b.cfg.Relay(learnt)
	}
	return duty.Never
}

// EvidenceChanged wakes the duty to send new evidence. It does not block.
func (b *Broker) EvidenceChanged() {
	b.duty.PostLater(func(time.Duration) {})
}

// MergeEvidence merges evidence from another daemon into the ledger and forwards new
// evidence with Relay. It reports whether any was new.
func (b *Broker) MergeEvidence(s poison.State) bool {
	isNew := b.evidence.merge(b.cfg.Epoch.Add(b.cfg.Now()), s)
	if isNew {
		b.EvidenceChanged()
	}
	return isNew
}

// AdoptEvidence merges evidence that this daemon asked another one for. It isn't
// forwarded: each daemon asks for itself. It reports whether any was new.
func (b *Broker) AdoptEvidence(s poison.State) bool {
	return b.evidence.adopt(b.cfg.Epoch.Add(b.cfg.Now()), s)
}

// Receive handles an envelope from another daemon.
func (b *Broker) Receive(from id.Daemon, e *Envelope) {
	b.duty.Post(func(now time.Duration) { b.handle(now, from, e) })
}
