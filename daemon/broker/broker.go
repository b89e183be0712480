package broker

import (
	"context"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
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
	next := now + time.Second
	b.output(now, b.asker.Tick(now))
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

// Pair asks for the endpoints of a request and waits for them. When ctx ends
// first the request is withdrawn.
func (b *Broker) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	answers := make(chan pairing.Answer, 1)
	ask := func(now time.Duration) {
		b.waiting[w.Request] = answers
		b.output(now, b.asker.Ask(now, w, patience))
	}
	if !b.duty.PostContext(ctx, ask) {
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon takes no requests now")
	}
	select {
	case a := <-answers:
		if a.Err != nil {
			return sched.Grant{}, a.Err
		}
		return *a.Grant, nil
	case <-ctx.Done():
		b.duty.Post(func(now time.Duration) {
			delete(b.waiting, w.Request)
			b.output(now, b.asker.Withdraw(w.Request))
		})
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller is gone").WithCause(context.Cause(ctx))
	case <-b.duty.Context().Done():
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon is stopping")
	}
}

// Resume registers a request whose engine stream was begun by another process.
func (b *Broker) Resume(w sched.Want, g sched.Grant) {
	b.duty.Post(func(now time.Duration) { b.output(now, b.asker.Resume(now, w, g)) })
}

// Progress reports how a granted request fares.
func (b *Broker) Progress(p sched.Progress) {
	b.duty.Post(func(now time.Duration) {
		if p.Phase >= sched.PhaseDecoding {
			delete(b.bindings, p.Request)
		}
		b.output(now, b.asker.Progress(p))
	})
}

// Receive takes an envelope from another daemon.
func (b *Broker) Receive(from id.Daemon, e *Envelope) {
	b.duty.Post(func(now time.Duration) { b.handle(now, from, e) })
}

// SetMembers takes the live daemons, this one among them. A manager whose pool
// moved away is dropped: the askers tell the new owner of all that is in use.
func (b *Broker) SetMembers(members []id.Daemon) {
	b.duty.Post(func(now time.Duration) {
		b.output(now, b.asker.Members(now, members))
		for _, p := range b.sortedPools() {
			if !b.owns(p) {
				delete(b.managers, p)
			}
		}
	})
}

// ProcessGone releases what a dead process held in this daemon's pools.
func (b *Broker) ProcessGone(p id.Process) {
	b.duty.Post(func(now time.Duration) {
		for _, name := range b.sortedPools() {
			b.actions(now, name, b.managers[name].ProcessGone(now, p))
		}
	})
}

// SetDocument takes a new configuration.
func (b *Broker) SetDocument(doc *live.Document) {
	b.duty.Post(func(now time.Duration) {
		b.doc = doc
		b.known = poolNames(doc)
		for _, p := range b.sortedPools() {
			if !b.known[p] {
				delete(b.managers, p)
				continue
			}
			b.actions(now, p, b.managers[p].Configure(now, doc))
		}
	})
}

// Drain tells a pool's owner to keep new work off an endpoint, or let it in.
func (b *Broker) Drain(p id.Pool, e id.Endpoint, on bool) {
	b.duty.Post(func(now time.Duration) {
		b.sendTo(now, b.asker.Owner(p), &Envelope{Drain: &Drain{Pool: p, Endpoint: e, On: on}})
	})
}

// Load takes an endpoint's report for one of its pools.
func (b *Broker) Load(p id.Pool, l sched.Load) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.actions(now, p, b.manager(now, p).Load(now, l))
		}
	})
}

// Cache takes an endpoint's cache events for one of its pools.
func (b *Broker) Cache(p id.Pool, e id.Endpoint, events []sched.CacheEvent, gap bool) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.manager(now, p).Cache(now, e, events, gap)
		}
	})
}

// schedules is true for the owner of a pool, and for a daemon that others take
// for it and so send their Wants.
func (b *Broker) schedules(p id.Pool) bool { return b.owns(p) || b.managers[p] != nil }

// Scheduled lists those of the pools that this daemon schedules.
func (b *Broker) Scheduled(pools []id.Pool) []id.Pool {
	var out []id.Pool
	b.duty.Query(func(time.Duration) {
		for _, p := range pools {
			if b.schedules(p) {
				out = append(out, p)
			}
		}
	})
	return out
}

func (b *Broker) owns(p id.Pool) bool { return b.asker.Owner(p) == b.cfg.Self.Daemon }

// Owners returns the daemon that schedules each of the pools, as this daemon
// sees it.
func (b *Broker) Owners(pools []id.Pool) []id.Daemon {
	owners := make([]id.Daemon, len(pools))
	b.duty.Query(func(time.Duration) {
		for i, p := range pools {
			owners[i] = b.asker.Owner(p)
		}
	})
	return owners
}

// Pools reads the state of the pools that this daemon owns.
func (b *Broker) Pools() []pool.Status {
	var out []pool.Status
	b.duty.Query(func(now time.Duration) {
		for _, p := range b.sortedPools() {
			out = append(out, b.managers[p].Status(now))
		}
	})
	return out
}

func (b *Broker) sortedPools() []id.Pool {
	pools := make([]id.Pool, 0, len(b.managers))
	for p := range b.managers {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	return pools
}

// manager returns the manager of a pool, making it on the first message: the
// sender takes this daemon for the owner.
func (b *Broker) manager(now time.Duration, p id.Pool) *pool.Manager {
	m, ok := b.managers[p]
	if ok {
		return m
	}
	m = b.cfg.NewManager(p)
	b.managers[p] = m
	b.actions(now, p, m.Configure(now, b.doc))
	return m
}

func poolNames(doc *live.Document) map[id.Pool]bool {
	names := make(map[id.Pool]bool, len(doc.Pools))
	for i := range doc.Pools {
		names[doc.Pools[i].Name] = true
	}
	return names
}

// output sends what the asker wants sent and delivers its answers.
func (b *Broker) output(now time.Duration, out pairing.Output) {
	for _, a := range out.Answers {
		b.answer(a)
	}
	for _, binding := range out.Bindings {
		b.bound(binding)
	}
	for _, m := range out.Messages {
		b.send(now, m)
	}
}

func (b *Broker) answer(a pairing.Answer) {
	ch, ok := b.waiting[a.Request]
	if !ok {
		return
	}
	delete(b.waiting, a.Request)
	if a.Grant != nil && a.Grant.Provisional {
		b.bindings[a.Request] = make(chan sched.Binding, 1)
	}
	ch <- a
}

// bound hands a binding to the request that waits, or will wait, for it.
func (b *Broker) bound(binding sched.Binding) {
	ch, ok := b.bindings[binding.Request]
	if !ok {
		return
	}
	select {
	case ch <- binding:
	default:
	}
}

// Bind waits for the endpoint of a provisional grant, no longer than the grant
// allows. Without a binding in time it is the endpoint that the grant named.
func (b *Broker) Bind(ctx context.Context, g sched.Grant) id.Endpoint {
	if !g.Provisional {
		return g.Decode
	}
	var ch chan sched.Binding
	b.duty.Query(func(time.Duration) { ch = b.bindings[g.Request] })
	timer := time.NewTimer(g.BindWithin)
	defer timer.Stop()
	select {
	case binding := <-ch:
		return binding.Decode
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Decode
}

func (b *Broker) send(now time.Duration, m pairing.Message) {
	b.sendTo(now, m.To, &Envelope{Want: m.Want, Withdraw: m.Withdraw, Progress: m.Progress, Adopt: m.Adopt})
}

// sendTo handles what is for this daemon at once and sends the rest.
func (b *Broker) sendTo(now time.Duration, to id.Daemon, e *Envelope) {
	if to == b.cfg.Self.Daemon {
		b.handle(now, to, e)
		return
	}
	if err := b.cfg.Sender.SendBroker(to, e); err != nil {
		b.lost.Inc()
	}
}

// actions carries out what a manager decided.
func (b *Broker) actions(now time.Duration, p id.Pool, actions []sched.Action) {
	for _, a := range actions {
		e := &Envelope{Refusal: a.Refusal, Binding: a.Binding}
		if a.Grant != nil {
			e.Grant = &PoolGrant{Pool: p, Grant: *a.Grant}
		}
		b.sendTo(now, a.To.Daemon, e)
	}
}

// handle takes an envelope from this or another daemon. One about a pool that
// is not in the configuration here is dropped: its sender asks again.
func (b *Broker) handle(now time.Duration, from id.Daemon, e *Envelope) {
	if p, ok := e.pool(); ok && !b.known[p] {
		b.unknown.Inc()
		return
	}
	switch {
	case e.Want != nil:
		b.actions(now, e.Want.Pool, b.manager(now, e.Want.Pool).Want(now, *e.Want))
	case e.Withdraw != nil:
		p := e.Withdraw.Pool
		b.actions(now, p, b.manager(now, p).Withdraw(now, e.Withdraw.Request))
	case e.Progress != nil:
		p := e.Progress.Pool
		b.actions(now, p, b.manager(now, p).Progress(now, e.Progress.Progress))
	case e.Adopt != nil:
		p := e.Adopt.Want.Pool
		b.actions(now, p, b.manager(now, p).Adopt(now, *e.Adopt))
	case e.Drain != nil:
		p := e.Drain.Pool
		b.actions(now, p, b.manager(now, p).Drain(now, e.Drain.Endpoint, e.Drain.On))
	case e.Grant != nil:
		b.output(now, b.asker.Granted(e.Grant.Pool, e.Grant.Grant))
	case e.Binding != nil:
		b.output(now, b.asker.Bound(*e.Binding))
	case e.Refusal != nil:
		b.output(now, b.asker.Refused(from, *e.Refusal))
	}
}
