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
	// Poison holds the evidence against requests that crash endpoints. Only
	// the duty uses it.
	Poison *poison.Ledger
	// Spread sends new evidence to the other daemons.
	Spread func(s poison.State)
	// Epoch is the wall time at time zero.
	Epoch   time.Time
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
	known   map[id.Pool]bool
	waiting map[id.Request]chan<- pairing.Answer
	// bindings hand each provisional grant its binding.
	bindings map[id.Request]chan sched.Binding
	lost     *metrics.Counter
	unknown  *metrics.Counter
	// told is the number of the last evidence that was spread.
	told uint64
}

// New returns a Broker whose duty is running.
func New(cfg Config) *Broker {
	b := &Broker{
		cfg:      cfg,
		asker:    pairing.New(cfg.Self, pairing.Options{Local: cfg.Local}),
		managers: make(map[id.Pool]*pool.Manager),
		doc:      &live.Document{},
		waiting:  make(map[id.Request]chan<- pairing.Answer),
		bindings: make(map[id.Request]chan sched.Binding),
		lost:     cfg.Metrics.Counter("broker_messages_lost", metrics.UnitCount, "messages to other daemons that could not be queued"),
	}
	b.unknown = cfg.Metrics.Counter("broker_unknown_pool", metrics.UnitCount, "messages about pools that are not in the configuration here")
	b.duty = duty.Start(duty.Config{Name: "broker", Ring: ringSize, Now: cfg.Now, Tick: b.tick, Metrics: cfg.Metrics, Ready: cfg.Ready})
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
	b.spread()
	return next
}

// spread sends evidence that is new since the last time.
func (b *Broker) spread() {
	delta, number := b.cfg.Poison.Delta(b.told)
	if number == b.told {
		return
	}
	b.told = number
	b.cfg.Spread(delta)
}

// MergeEvidence takes evidence from another daemon.
func (b *Broker) MergeEvidence(s poison.State) {
	b.duty.Post(func(now time.Duration) { b.cfg.Poison.Merge(b.cfg.Epoch.Add(now), s) })
}

// Receive takes an envelope from another daemon.
func (b *Broker) Receive(from id.Daemon, e *Envelope) {
	b.duty.Post(func(now time.Duration) { b.handle(now, from, e) })
}
