// Package cancels frees what endpoints hold for requests whose results are no longer
// needed. Its duty drives core/reap: it repeats cancels until they are confirmed, and
// finds the requests of terminated processes in the lists of the endpoints.
package cancels

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/reap"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// Config holds the dependencies of a Cancels.
type Config struct {
	Self      id.Process
	Endpoints *endpoints.Set
	// Address returns an endpoint's address in the configuration in force.
	Address func(e id.Endpoint) (string, bool)
	Work    *workpool.Pool
	Metrics *metrics.Registry
	// Log writes one line per event.
	Log func(event string, kv ...any)
	Now func() time.Duration
	// Ready delays the start of the duty until it is closed.
	Ready <-chan struct{}
}

// Cancels is the running duty.
type Cancels struct {
	cfg       Config
	duty      *duty.Duty
	canceller *reap.Canceller
	reaper    *reap.Reaper
	callbacks map[reap.Key][]func()

	mu     sync.Mutex
	active map[id.Request]int

	sent    *metrics.Counter
	ended   *metrics.CounterMap
	orphans *metrics.Counter
	pending *metrics.Gauge
}

// Start starts the duty.
func Start(cfg Config) *Cancels {
	c := &Cancels{
		cfg:       cfg,
		canceller: reap.NewCanceller(reap.CancellerConfig{}),
		reaper:    reap.NewReaper(reap.ReaperConfig{Self: cfg.Self}),
		callbacks: make(map[reap.Key][]func()),
		active:    make(map[id.Request]int),
		sent:      cfg.Metrics.Counter("cancels_sent", metrics.UnitCount, "cancel orders sent to endpoints"),
		ended:     cfg.Metrics.CounterMap("cancels_ended", metrics.UnitCount, "ended cancels, by reason"),
		orphans:   cfg.Metrics.Counter("orphans_found", metrics.UnitCount, "requests of ended processes found at endpoints"),
		pending:   cfg.Metrics.Gauge("cancels_working", metrics.UnitCount, "cancels that are not confirmed yet"),
	}
	c.duty = duty.Start(duty.Config{Name: "cancels", Now: cfg.Now, Tick: c.tick, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return c
}

// Close stops the duty.
func (c *Cancels) Close() { c.duty.Close() }

func (c *Cancels) tick(now time.Duration) time.Duration {
	c.perform(c.canceller.Tick(now))
	c.pending.Set(float64(c.canceller.Pending()))
	return c.canceller.Next()
}

// Enter marks an attempt as active in this daemon, so that it is not cancelled as an
// orphan, until Exit is called.
func (c *Cancels) Enter(r id.Request) {
	c.mu.Lock()
	c.active[r]++
	c.mu.Unlock()
}

// Exit reverts one Enter.
func (c *Cancels) Exit(r id.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[r]--
	if c.active[r] <= 0 {
		delete(c.active, r)
	}
}

func (c *Cancels) isActive(r id.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[r] > 0
}

// Cancel implements completion.Canceller. The cancel takes effect only if this process
// still owns the request: a caller that resumed through another daemon keeps its
// answer.
func (c *Cancels) Cancel(e *live.Endpoint, attempt id.Request, done func()) {
	owner := c.cfg.Self
	order := reap.Order{Key: reap.Key{Endpoint: e.Name, Request: attempt}, Owner: &owner}
	c.add(order, done)
}

// ReleaseKV implements completion.Canceller.
func (c *Cancels) ReleaseKV(e *live.Endpoint, attempt id.Request, kv string) {
	owner := c.cfg.Self
	c.add(reap.Order{Key: reap.Key{Endpoint: e.Name, Request: attempt}, Owner: &owner, KV: kv, RunSettled: true}, nil)
}

func (c *Cancels) add(o reap.Order, done func()) {
	c.duty.Post(func(now time.Duration) {
		if done != nil {
			c.callbacks[o.Key] = append(c.callbacks[o.Key], done)
		}
		c.perform(c.canceller.Add(now, o))
	})
}

// Incarnation records an endpoint's incarnation from any response.
func (c *Cancels) Incarnation(e id.Endpoint, inc id.Incarnation) {
	c.duty.Post(func(now time.Duration) { c.perform(c.canceller.Incarnation(now, e, inc)) })
}

// Removed ends the cancels at an endpoint that left the configuration.
func (c *Cancels) Removed(e id.Endpoint) {
	c.duty.Post(func(now time.Duration) { c.perform(c.canceller.Remove(now, e)) })
}

// ProcessAlive records a process that the membership counts as alive.
func (c *Cancels) ProcessAlive(p id.Process) {
	c.duty.Post(func(now time.Duration) { c.reaper.ProcessAlive(now, p) })
}

// ProcessGone records a process that the membership has declared dead.
func (c *Cancels) ProcessGone(p id.Process) {
	c.duty.Post(func(now time.Duration) { c.reaper.ProcessGone(now, p) })
}

// List handles the list of requests that an endpoint holds, and cancels the orphans in
// it.
func (c *Cancels) List(e id.Endpoint, list wire.RequestList) {
	l := reap.List{Endpoint: e, Incarnation: id.Incarnation(list.Incarnation)}
	for _, r := range list.Requests {
		l.Requests = append(l.Requests, reap.Running{
			Request: id.Request(r.Request),
			Owner:   id.Process{Daemon: id.Daemon(r.Owner), Incarnation: id.Incarnation(r.OwnerIncarnation)},
			Stage:   reap.Stage(r.Stage),
			Age:     time.Duration(r.AgeMS) * time.Millisecond,
		})
	}
	c.duty.Post(func(now time.Duration) {
		for _, o := range c.reaper.List(now, l, c.isActive) {
			c.orphans.Inc()
			c.cfg.Log("orphan_found", "endpoint", e, "attempt", o.Key.Request, "owner", o.Owner)
			c.perform(c.canceller.Add(now, o))
		}
	})
}

func (c *Cancels) perform(actions []reap.Action) {
	for _, a := range actions {
		switch {
		case a.Cancel != nil:
			c.send(a.Cancel.Key, func(ctx context.Context, address string) { c.cancel(ctx, address, a.Cancel) })
		case a.Release != nil:
			c.send(a.Release.Key, func(ctx context.Context, address string) { c.release(ctx, address, a.Release) })
		case a.Done != nil:
			c.finish(a.Done)
		}
	}
}

// send runs one call to an endpoint in the work pool. A refusal by the pool counts as a
// failed call, which is repeated.
func (c *Cancels) send(k reap.Key, call func(ctx context.Context, address string)) {
	address, ok := c.cfg.Address(k.Endpoint)
	if !ok {
		c.duty.PostLater(func(now time.Duration) { c.perform(c.canceller.Remove(now, k.Endpoint)) })
		return
	}
	task := func() {
		ctx, cancel := endpoints.WithShortTimeout(c.duty.Context())
		defer cancel()
		call(ctx, address)
	}
	if !c.cfg.Work.Submit(task) {
		c.duty.PostLater(func(now time.Duration) { c.canceller.Failed(now, k) })
	}
}

func (c *Cancels) cancel(ctx context.Context, address string, a *reap.Cancel) {
	c.sent.Inc()
	req := wire.CancelRequest{Request: string(a.Key.Request)}
	if a.Owner != nil {
		req.Owner = string(a.Owner.Daemon)
		req.OwnerIncarnation = uint64(a.Owner.Incarnation)
	}
	resp, err := c.cfg.Endpoints.Engine(address).Cancel(ctx, req)
	c.duty.Post(func(now time.Duration) {
		if err != nil {
			c.canceller.Failed(now, a.Key)
			return
		}
		c.perform(c.canceller.Reply(now, a.Key, reap.CancelState(resp.State)))
	})
}

func (c *Cancels) release(ctx context.Context, address string, a *reap.Release) {
	err := c.cfg.Endpoints.Engine(address).Release(ctx, wire.ReleaseRequest{Request: string(a.Key.Request), KV: a.KV})
	c.duty.Post(func(now time.Duration) {
		if err != nil {
			c.canceller.Failed(now, a.Key)
			return
		}
		c.perform(c.canceller.Released(now, a.Key))
	})
}

func (c *Cancels) finish(d *reap.Done) {
	c.ended.Add(string(d.Reason), 1)
	callbacks := c.callbacks[d.Key]
	delete(c.callbacks, d.Key)
	for _, f := range callbacks {
		f()
	}
}
