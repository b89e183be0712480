package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// callFleet are forwarders with real brokers over links that a test can cut, in one process.
// All send to the same endpoints.
type callFleet struct {
	t         *testing.T
	endpoints *slotEndpoints
	daemons   []*callDaemon

	mu sync.Mutex
	// lost, if set, reports whether an envelope is lost on its way.
	lost func(from, to id.Daemon, e *broker.Envelope) bool
	// frozen daemons neither send nor receive; held are the envelopes that wait for them.
	frozen map[id.Daemon]bool
	held   []func()
}

type callDaemon struct {
	*Forwarder
	name   id.Daemon
	broker *broker.Broker
	// silent and back count the changes of owners.
	silent, back atomic.Int64
	sent         int
}

// slotEndpoints answer calls while open is closed. They are safe for concurrent use.
type slotEndpoints struct {
	Endpoints
	open chan struct{}
	mu   sync.Mutex
	ran  map[id.Request]int
	// begun is the number of calls that have reached an endpoint.
	begun int
}

// Call implements Endpoints.
func (s *slotEndpoints) Call(ctx context.Context, a *Attempt) (*Reply, *verdict.Error) {
	s.mu.Lock()
	s.ran[a.Request.ID]++
	s.begun++
	s.mu.Unlock()
	select {
	case <-s.open:
		return &Reply{Status: 200}, nil
	case <-ctx.Done():
		return nil, failure(verdict.MayHaveRun, verdict.CodeCallerGone)
	}
}

// Reachable implements Endpoints.
func (s *slotEndpoints) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

func (s *slotEndpoints) arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// newCallFleet starts n daemons that know each other, before the four endpoints of newTest.
func newCallFleet(t *testing.T, n int) *callFleet {
	f := &callFleet{t: t, endpoints: &slotEndpoints{open: make(chan struct{}), ran: map[id.Request]int{}}, frozen: map[id.Daemon]bool{}}
	start := time.Now()
	for i := range n {
		d := &callDaemon{name: id.Daemon(fmt.Sprintf("d%d", i))}
		d.Forwarder, _ = newTest(t, f.endpoints)
		d.Now = func() time.Duration { return time.Hour + time.Since(start) }
		d.Self = func() id.Process { return id.Process{Daemon: d.name, Incarnation: 1} }
		d.Daemons = func() int { return n }
		d.CallQueue = func() bool { return true }
		for _, name := range []string{"again", "once"} {
			rt := d.View().Routes.Match("h", "/"+name+"/x")
			rt.TargetLatency, rt.Timeout, rt.Patience = 4*time.Second, 20*time.Second, 10*time.Second
		}
		d.broker = broker.New(broker.Config{
			Self: d.Self(), NewManager: func(p id.Pool) *pool.Manager { return newCallManager(d, p) },
			Sender: sender{f, d.name}, Poison: poison.New(poison.Config{}),
			Spread: func(poison.State) {}, Relay: func(poison.State) {},
			OwnerChanged: d.ownerChanged, Metrics: metrics.New(string(d.name)), Now: d.Now,
		})
		t.Cleanup(d.broker.Close)
		d.Pairer = d.broker
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		d.broker.SetDocument(callDocument(d.View()))
		d.broker.SetMembers(f.names())
	}
	return f
}

func (d *callDaemon) ownerChanged(c pairing.OwnerChange) {
	if c.Silent {
		d.silent.Add(1)
		return
	}
	d.back.Add(1)
}

func newCallManager(d *callDaemon, p id.Pool) *pool.Manager {
	return pool.New(pool.Options{
		Pool: p, Calls: true, Poison: poison.New(poison.Config{}),
		NewScheduler: func(view sched.HealthView) sched.Scheduler {
			return callsched.New(callsched.Options{Pool: p, Self: d.Self(), FirstReservation: uint64(d.Now()), Health: view})
		},
	})
}

func callDocument(v *View) *live.Document {
	doc := &live.Document{
		Services: []live.Service{{Name: "s", Type: live.ServicePlain, Pool: "s"}},
		Pools:    []live.Pool{{Name: "s", EndpointSelector: "service=s"}},
	}
	for _, name := range []id.Endpoint{"a", "b", "c", "d"} {
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name: name, Slots: v.Endpoints[name].Slots,
			Labels: live.Labels{"service": "s", live.LabelRole: string(live.RolePlain)},
		})
	}
	return doc
}

func (f *callFleet) names() []id.Daemon {
	var out []id.Daemon
	for _, d := range f.daemons {
		out = append(out, d.name)
	}
	return out
}

// split returns the owner of the pool by the view of the first daemon, and the others.
func (f *callFleet) split() (owner *callDaemon, others []*callDaemon) {
	name := f.daemons[0].broker.Owners([]id.Pool{"s"})[0]
	for _, d := range f.daemons {
		if d.name == name {
			owner = d
			continue
		}
		others = append(others, d)
	}
	return owner, others
}

// sender implements broker.Sender for one daemon.
type sender struct {
	f    *callFleet
	from id.Daemon
}

// SendBroker implements broker.Sender.
func (s sender) SendBroker(to id.Daemon, e *broker.Envelope) error {
	f := s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost != nil && f.lost(s.from, to, e) {
		return nil
	}
	i := slices.IndexFunc(f.daemons, func(d *callDaemon) bool { return d.name == to })
	deliver := func() { f.daemons[i].broker.Receive(s.from, e) }
	if f.frozen[to] || f.frozen[s.from] {
		f.held = append(f.held, deliver)
		return nil
	}
	deliver()
	return nil
}

// lose sets which envelopes are lost from now on.
func (f *callFleet) lose(lost func(from, to id.Daemon, e *broker.Envelope) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
}

// freeze holds all envelopes of a daemon until thaw.
func (f *callFleet) freeze(name id.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[name] = true
}

func (f *callFleet) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.frozen)
	for _, deliver := range f.held {
		deliver()
	}
	f.held = nil
}

// callers sends n calls through a daemon and returns a function that waits for their results
// and returns how many were answered. A call that is not must be refused as not run.
func (f *callFleet) callers(d *callDaemon, path string, n int) (wait func() int) {
	var wg sync.WaitGroup
	var answered atomic.Int64
	for range n {
		d.sent++
		r := &Request{
			ID: id.Request(fmt.Sprintf("%s-%d", d.name, d.sent)), Method: "POST", Host: "h", Path: path, Target: path,
			Arrived: d.Now(), CallerTimeout: 20 * time.Second,
		}
		wg.Go(func() {
			_, err := d.Run(context.Background(), r)
			switch {
			case err == nil:
				answered.Add(1)
			case err.Verdict != verdict.NotRun:
				f.t.Errorf("%s: %v", r.ID, err)
			}
		})
	}
	return func() int {
		wg.Wait()
		return int(answered.Load())
	}
}

// checkAtRest checks that no call ran twice and no scheduler keeps a slot for one that has
// ended.
func (f *callFleet) checkAtRest(among ...*callDaemon) {
	f.t.Helper()
	for r, times := range f.endpoints.ran {
		if times != 1 {
			f.t.Errorf("%s ran %d times", r, times)
		}
	}
	for _, d := range among {
		waitUntil(f.t, "no slot is held at "+string(d.name), func() bool {
			for _, s := range d.broker.Pools() {
				if s.Running+s.Queued > 0 {
					return false
				}
			}
			return true
		})
	}
}

func (d *callDaemon) queued() int {
	n := 0
	for _, s := range d.broker.Pools() {
		n += s.Queued
	}
	return n
}
