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

// ringSize bounds the events that wait for the duty.
const ringSize = 4096

// Config is what a Broker works with.
type Config struct {
	Self id.Process
	// Local keeps every pool on this daemon: for policies without an owner.
	Local bool
	// NewManager makes the manager of a pool that this daemon owns.
	NewManager func(p id.Pool) *pool.Manager
	Sender     Sender
	// Poison holds the evidence against requests that crash endpoints.
	Poison *poison.Ledger
	// Spread sends this daemon's own new evidence to all others, Relay passes on
	// to a few what others told: it reaches those that the first sending missed.
	Spread func(s poison.State)
	Relay  func(s poison.State)
	// Epoch is the wall time at time zero.
	Epoch time.Time
	// Behind, if set, is told how long work waits for the broker.
	Behind  func(late time.Duration)
	Metrics *metrics.Registry
	// Now is the time since the daemon's start.
	Now func() time.Duration
	// Ready holds the duty back until it is closed.
	Ready <-chan struct{}
}

// Broker pairs requests with endpoints.
type Broker struct {
	cfg      Config
	duty     *duty.Duty
	asker    *pairing.Asker
	managers map[id.Pool]*pool.Manager
	doc      *live.Document
	// known are the pools of doc; no other gets a manager.
	configured map[id.Pool]bool
	waiting    map[id.Request]chan<- pairing.Answer
	// bindings hand each provisional grant its binding.
	bindings     map[id.Request]chan sched.Binding
	lostMessages *metrics.Counter
	unknownPools *metrics.Counter
	// evidence waits to be told to other daemons, from spreadAt on.
	evidence *evidence
	spreadAt time.Duration
}

// New returns a Broker whose duty is running.
func New(cfg Config) *Broker {
	b := &Broker{
		cfg:          cfg,
		asker:        pairing.New(cfg.Self, pairing.Options{Local: cfg.Local}),
		managers:     make(map[id.Pool]*pool.Manager),
		doc:          &live.Document{},
		waiting:      make(map[id.Request]chan<- pairing.Answer),
		bindings:     make(map[id.Request]chan sched.Binding),
		evidence:     &evidence{ledger: cfg.Poison},
		lostMessages: cfg.Metrics.Counter("broker_messages_lost", metrics.UnitCount, "messages to other daemons that could not be queued"),
	}
	b.unknownPools = cfg.Metrics.Counter("broker_unknown_pool", metrics.UnitCount, "messages about pools that are not in the configuration here")
	b.duty = duty.Start(duty.Config{Name: "broker", Ring: ringSize, Now: cfg.Now, Tick: b.tick, Behind: cfg.Behind, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return b
}

// Close ends the duty.
func (b *Broker) Close() { b.duty.Close() }

// tick does what is due and returns when the next thing is.
func (b *Broker) tick(now time.Duration) time.Duration {
	b.output(now, b.asker.Tick(now))
	next := b.asker.Next()
	for _, p := range b.sortedPools() {
		m := b.managers[p]
		if m.Next() <= now {
			b.actions(now, p, m.Tick(now))
		}
		next = min(next, m.Next())
	}
	return min(next, b.spread(now))
}

// spreadEvery gathers evidence, well below the time in which a verdict settles.
const spreadInterval = 250 * time.Millisecond

// spread sends evidence that is new since the last time, and returns when it
// wants to be called again.
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

// EvidenceChanged has new evidence spread. It doesn't wait.
func (b *Broker) EvidenceChanged() {
	b.duty.PostLater(func(time.Duration) {})
}

// MergeEvidence takes evidence from another daemon, and passes what is new on to
// a few. It returns whether any is.
func (b *Broker) MergeEvidence(s poison.State) bool {
	isNew := b.evidence.merge(b.cfg.Epoch.Add(b.cfg.Now()), s)
	if isNew {
		b.EvidenceChanged()
	}
	return isNew
}

// Receive takes an envelope from another daemon.
func (b *Broker) Receive(from id.Daemon, e *Envelope) {
	b.duty.Post(func(now time.Duration) { b.handle(now, from, e) })
}
