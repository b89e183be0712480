package placer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/placement"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// waitLimit bounds every wait of a test for an expected state.
const waitLimit = 30 * time.Second

// clock is the clock of a process. While it is paused, its readers block, like a
// stopped process.
type clock struct {
	mu    sync.Mutex
	start time.Time
}

func (c *clock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.start)
}

func (c *clock) pause()  { c.mu.Lock() }
func (c *clock) resume() { c.mu.Unlock() }

// harness is a platform with a few engines and its configuration.
type harness struct {
	t        *testing.T
	platform *standin.Platform
	index    *live.Index
	clients  *endpoints.Set
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	is := is.New(t)
	cfg := standin.Bunker()
	cfg.Engines = append(cfg.Engines[:3:3], cfg.Engines[9:12]...)
	cfg.Plains = nil
	for i := range cfg.Engines {
		cfg.Engines[i].LoadTime = 10 * time.Millisecond
	}
	p, err := standin.StartPlatform(cfg)
	is.NoErr(err)
	t.Cleanup(p.Close)
	doc := standin.Document(cfg, p.Addresses())
	normal := live.Normalize(&doc)
	return &harness{t: t, platform: p, index: live.NewIndex(normal), clients: endpoints.New(nil)}
}

// placer starts a Placer for one process.
func (h *harness) placer(name id.Daemon, c *clock) *Placer {
	h.t.Helper()
	is := is.New(h.t)
	registry := metrics.New(string(name))
	work, err := workpool.New("short", 64, registry)
	is.NoErr(err)
	leases := lease.DefaultConfig()
	leases.TTL = time.Second
	leases.Margin = 100 * time.Millisecond
	leases.RenewEvery = 200 * time.Millisecond
	leases.WatchEvery = 100 * time.Millisecond
	table := client.NewTable(h.platform.Addresses().Table, client.Options{})
	p := Start(Config{
		Self:      id.Process{Daemon: name, Incarnation: 1},
		Store:     store.New(store.TableService{Client: table}, work, registry),
		Weights:   client.NewWeights(h.platform.Addresses().Weights, client.Options{}),
		Endpoints: h.clients,
		Work:      work,
		Metrics:   registry,
		Decide:    func(id.Endpoint, string, ...any) {},
		Log:       func(string, ...any) {},
		Drain:     func(id.Pool, id.Endpoint, bool) {},
		Demand:    func(context.Context) []placement.Demand { return nil },
		Now:       c.now,
		Rand:      rand.New(rand.NewPCG(1, uint64(len(name)))),
		Lease:     leases,
		Core:      placement.DefaultConfig(),
	})
	h.t.Cleanup(func() {
		p.Close()
		work.Close()
	})
	p.SetIndex(h.index)
	return p
}

func (h *harness) waitFor(what string, holds func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(waitLimit)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			h.t.Fatalf("not within %s: %s", waitLimit, what)
		}
		<-ticker.C
	}
}

// engine returns an engine that checks fencing numbers, or one that does not.
func (h *harness) engine(checks bool) (*client.Engine, live.Endpoint) {
	for _, e := range h.index.Document().Endpoints {
		if e.ChecksFencing == checks {
			return h.clients.Engine(e.Address), e
		}
	}
	h.t.Fatal("no such engine")
	return nil, live.Endpoint{}
}

func (p *Placer) holds() bool {
	held := false
	p.duty.Query(func(now time.Duration) { held = p.lease.Valid(now) })
	return held
}

// TestOrderOfAPausedHolder pauses a holder while its order is in flight. The order
// arrives after another process has acquired the lease: an engine that checks fencing
// numbers must refuse it, and the new holder must repair one that does not.
func TestOrderOfAPausedHolder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first, second := &clock{start: time.Now()}, &clock{start: time.Now()}
	a := h.placer("a", first)
	h.waitFor("a holds the lease", a.holds)
	b := h.placer("longer", second)

	oldFence := a.gate.Fence()
	first.pause()
	h.waitFor("b took the lease over", b.holds)
	is.True(b.gate.Fence() > oldFence)

	// The order that a had in flight arrives now.
	for _, checks := range []bool{true, false} {
		engine, endpoint := h.engine(checks)
		before, err := engine.OrderState(context.Background())
		is.NoErr(err)
		stale := wire.Order{Fence: oldFence, Model: "something-else", Version: "0", Role: before.Role}
		h.waitFor("b has ordered or the gate is open", func() bool { return b.gateState(endpoint) == lease.Open })
		if checks {
			// The engine learns b's fence from b's next order.
			_, err = engine.Order(context.Background(), wire.Order{Fence: b.gate.Fence(), Model: before.Model, Adapter: before.Adapter, Version: before.Version, Role: before.Role})
			is.NoErr(err)
		}
		_, err = engine.Order(context.Background(), stale)
		if checks {
			is.True(err != nil) // refused: a's order must not take effect
		} else {
			is.NoErr(err) // executed; b repairs it below
		}
		h.waitFor("the endpoint has its desired state", func() bool {
			now, err := engine.OrderState(context.Background())
			return err == nil && now.Ready && now.Model == before.Model && now.Version == before.Version && now.Role == before.Role
		})
	}

	first.resume()
	is.True(!a.holds()) // after the pause, a must not consider itself the holder
	is.True(b.holds())
}

// gateState returns what the gate returns for an order to the endpoint.
func (p *Placer) gateState(e live.Endpoint) lease.GateState {
	var gateState lease.GateState
	p.duty.Query(func(now time.Duration) { gateState = p.gate.Allow(now, e.Name, e.ChecksFencing) })
	return gateState
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	a := h.placer("a", &clock{start: time.Now()})
	h.waitFor("a holds the lease", a.holds)
	b := h.placer("longer", &clock{start: time.Now()})
	a.Release()
	h.waitFor("b holds the lease", b.holds)
	is.True(!a.holds())
	h.waitFor("status pages name b", func() bool { return b.Holder().Holder.Daemon == "longer" })
}

func TestLabelChangesTheRole(t *testing.T) {
	h := newHarness(t)
	p := h.placer("a", &clock{start: time.Now()})
	engine, endpoint := h.engine(true)
	h.waitFor("the engine was seen", func() bool {
		known := false
		p.duty.Query(func(time.Duration) { _, known = p.core.Desired(endpoint.Name) })
		return known
	})
	doc := *h.index.Document()
	doc.Endpoints = append([]live.Endpoint(nil), doc.Endpoints...)
	for i := range doc.Endpoints {
		if doc.Endpoints[i].Name == endpoint.Name {
			doc.Endpoints[i].Labels = live.Labels{}
			for k, v := range endpoint.Labels {
				doc.Endpoints[i].Labels[k] = v
			}
			doc.Endpoints[i].Labels[live.LabelRole] = string(live.RoleDecode)
		}
	}
	p.SetIndex(live.NewIndex(&doc))
	h.waitFor("the engine decodes", func() bool {
		state, err := engine.OrderState(context.Background())
		return err == nil && state.Ready && state.Role == string(live.RoleDecode)
	})
}
