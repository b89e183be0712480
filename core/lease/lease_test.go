package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/revision/table/tabletest"
)

// process is one contender with its own clock.
type process struct {
	w      *simulation
	self   id.Process
	lease  *Lease
	gate   *OrderGate
	offset time.Duration
	rate   float64
	dead   bool
	// paused is the time until which the process does not run.
	paused time.Duration
	// acquired counts the acquisitions.
	acquired int
}

// endpoint is an endpoint that does not check fencing numbers.
type endpoint struct {
	fence  uint64
	orders int
	// staleOrders counts orders of a former holder that arrived after an order of
	// a later holder.
	staleOrders int
}

// simulation runs processes with one table and one endpoint.
type simulation struct {
	clock     *tabletest.Clock
	model     *tabletest.Model
	processes []*process
	endpoint  endpoint
	// dropConditions removes the conditions of all transactions, to inject a fault.
	dropConditions bool
	fences         []uint64
	overlaps       int
	// restores is how often the table came back from an older copy.
	restores      int
	maxOrderDelay time.Duration
}

func newSimulation(seed uint64, cfg Config, n int) *simulation {
	clock := tabletest.NewClock(seed)
	w := &simulation{clock: clock, model: tabletest.New(clock), maxOrderDelay: 2 * time.Second}
	for i := range n {
		w.start(cfg, id.Process{Daemon: id.Daemon(fmt.Sprintf("d%d", i)), Incarnation: 1})
	}
	return w
}

func (w *simulation) start(cfg Config, self id.Process) *process {
	p := &process{w: w, self: self, offset: w.clock.RandomDuration(time.Hour), rate: 0.99 + 0.02*w.clock.Random.Float64()}
	p.lease = New(cfg, "placement", self, p.now(), w.clock.Random)
	p.gate = NewOrderGate(GateConfig{MaxOrderDelay: w.maxOrderDelay}, p.lease)
	w.processes = append(w.processes, p)
	p.tick()
	return p
}

// now returns the time of the process's own clock.
func (p *process) now() time.Duration {
	return p.offset + time.Duration(p.rate*float64(p.w.clock.Now()))
}

// runWhenActive runs a function once the process is not paused, unless it is dead.
func (p *process) runWhenActive(run func()) {
	switch {
	case p.dead:
	case p.w.clock.Now() < p.paused:
		p.w.clock.At(p.paused, func() { p.runWhenActive(run) })
	default:
		run()
	}
}

func (p *process) tick() {
	p.runWhenActive(func() {
		p.act(p.lease.Tick(p.now()))
		p.order()
	})
	if !p.dead {
		p.w.clock.After(50*time.Millisecond, p.tick)
	}
}

func (p *process) act(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Request != nil:
			q := *a.Request
			if p.w.dropConditions && q.Transaction != nil {
				q.Transaction = &table.Transaction{Puts: q.Transaction.Puts}
			}
			p.w.model.Do(q, func(r table.Reply) {
				p.runWhenActive(func() { p.act(p.lease.Handle(p.now(), r)) })
			})
		case a.Acquired != nil:
			p.acquired++
			p.w.fences = append(p.w.fences, a.Acquired.Fence)
			p.gate.Acquired(p.now(), *a.Acquired)
		}
	}
	p.w.checkOverlap()
}

// order sends the endpoint an order if the gate is open. It arrives after a random
// delay of up to maxOrderDelay.
func (p *process) order() {
	w, now := p.w, p.now()
	state := p.gate.Allow(now, "e", false)
	if state == ReadBack {
		p.gate.MarkReadBack(now, "e")
	}
	if state != Open {
		return
	}
	fence := p.gate.Fence()
	w.clock.After(w.clock.RandomDuration(w.maxOrderDelay), func() {
		w.endpoint.orders++
		if fence < w.endpoint.fence {
			w.endpoint.staleOrders++
		}
		w.endpoint.fence = max(w.endpoint.fence, fence)
	})
}

// checkOverlap counts the moments at which more than one process holds the lease.
func (w *simulation) checkOverlap() {
	valid := 0
	for _, p := range w.processes {
		if !p.dead && p.lease.Valid(p.now()) {
			valid++
		}
	}
	if valid > 1 {
		w.overlaps++
	}
}

func (w *simulation) holder() *process {
	for _, p := range w.processes {
		if !p.dead && p.lease.Valid(p.now()) {
			return p
		}
	}
	return nil
}

// injectFaults pauses, kills and restarts processes, takes the table down, and halts
// and releases leases, at random until a time.
func (w *simulation) injectFaults(cfg Config, until time.Duration) {
	r := w.clock.Random
	if w.clock.Now() >= until {
		return
	}
	i := r.IntN(len(w.processes))
	if h := w.holder(); h != nil && r.IntN(2) == 0 {
		for j, p := range w.processes {
			if p == h {
				i = j
			}
		}
	}
	p := w.processes[i]
	switch r.IntN(6) {
	case 0, 1:
		p.paused = w.clock.Now() + w.clock.RandomDuration(12*time.Second)
	case 2:
		p.dead = true
		w.processes = append(w.processes[:i:i], w.processes[i+1:]...)
		w.start(cfg, id.Process{Daemon: p.self.Daemon, Incarnation: p.self.Incarnation + 1})
	case 3:
		w.model.Faults.Down = true
		w.clock.After(w.clock.RandomDuration(15*time.Second), func() { w.model.Faults.Down = false })
	case 4:
		p.runWhenActive(func() { p.act(p.lease.Halt(p.now())) })
	default:
		p.runWhenActive(func() { p.act(p.lease.Release(p.now(), false)) })
		w.clock.After(10*time.Second, func() { p.dead = true })
		w.processes = append(w.processes[:i:i], w.processes[i+1:]...)
		w.start(cfg, id.Process{Daemon: p.self.Daemon, Incarnation: p.self.Incarnation + 1})
	}
	w.checkOverlap()
	w.clock.After(w.clock.RandomDuration(6*time.Second), func() { w.injectFaults(cfg, until) })
}

// maxCopyAge is the greatest age of a copy from which the table comes back.
const maxCopyAge = 8 * time.Second

// injectRestores brings the table back from older copies, at random until a time. Some
// follow each other closely.
func (w *simulation) injectRestores(until time.Duration) {
	if w.clock.Now() >= until {
		return
	}
	w.model.Restore(w.clock.RandomDuration(maxCopyAge))
	w.restores++
	w.clock.After(w.clock.RandomDuration(12*time.Second), func() { w.injectRestores(until) })
}

// simulateRestores is simulate with a table that comes back from older copies.
func simulateRestores(seed uint64, cfg Config) *simulation {
	w := newSimulation(seed, cfg, 3)
	w.model.Faults = tabletest.Faults{LoseRequest: 0.08, LoseReply: 0.1, Late: 0.08}
	w.injectFaults(cfg, 60*time.Second)
	w.clock.After(w.clock.RandomDuration(10*time.Second), func() { w.injectRestores(60 * time.Second) })
	w.clock.Run(90 * time.Second)
	w.model.Faults = tabletest.Faults{}
	for _, p := range w.processes {
		p.paused = 0
	}
	w.clock.Run(120 * time.Second)
	return w
}

// TestARestoredTableNeverGivesTheLeaseToTwo guards against a lease that is taken by the
// word of an older copy, and against fencing numbers that are given out again.
func TestARestoredTableNeverGivesTheLeaseToTwo(t *testing.T) {
	is := is.New(t)
	acquired, restores := 0, 0
	for seed := range tabletest.Seeds(120) {
		w := simulateRestores(seed, DefaultConfig())
		is.Equal(w.overlaps, 0)
		is.True(w.fencesIncrease())
		is.Equal(w.endpoint.staleOrders, 0)
		is.True(w.holder() != nil) // one process holds the lease after the faults have ended
		acquired += len(w.fences)
		restores += w.restores
	}
	is.True(acquired > 120*2 && restores > 120*4) // the histories have enough of both
	t.Logf("%d acquisitions, %d restores", acquired, restores)
}

func simulate(seed uint64, cfg Config, dropConditions bool) *simulation {
	w := newSimulation(seed, cfg, 3)
	w.dropConditions = dropConditions
	w.model.Faults = tabletest.Faults{LoseRequest: 0.08, LoseReply: 0.1, Late: 0.08, Stale: 0.15}
	w.injectFaults(cfg, 60*time.Second)
	w.clock.Run(90 * time.Second)
	w.model.Faults = tabletest.Faults{}
	for _, p := range w.processes {
		p.paused = 0
	}
	w.clock.Run(120 * time.Second)
	return w
}

func (w *simulation) fencesIncrease() bool {
	for i := 1; i < len(w.fences); i++ {
		if w.fences[i] <= w.fences[i-1] {
			return false
		}
	}
	return true
}

func TestAtMostOneHolderAndIncreasingFences(t *testing.T) {
	is := is.New(t)
	acquired, orders := 0, 0
	for seed := range tabletest.Seeds(120) {
		w := simulate(seed, DefaultConfig(), false)
		is.Equal(w.overlaps, 0)
		is.True(w.fencesIncrease())
		is.Equal(w.endpoint.staleOrders, 0)
		is.True(w.holder() != nil) // one process holds the lease after the faults have ended
		acquired += len(w.fences)
		orders += w.endpoint.orders
	}
	is.True(acquired > 120*3 && orders > 120*100) // the histories have enough acquisitions and orders
	t.Logf("%d acquisitions, %d orders", acquired, orders)
}

func TestChecksDetectInjectedFaults(t *testing.T) {
	unsafe := DefaultConfig()
	unsafe.Safety = 1.6 // the holder trusts its lease for longer than the TTL
	for name, inject := range map[string]func(seed uint64) *simulation{
		"no conditions": func(seed uint64) *simulation { return simulate(seed, DefaultConfig(), true) },
		"no safety":     func(seed uint64) *simulation { return simulate(seed, unsafe, false) },
	} {
		found := 0
		for seed := range uint64(20) {
			if w := inject(seed); w.overlaps > 0 || !w.fencesIncrease() {
				found++
			}
		}
		if found == 0 {
			t.Errorf("%s: not detected in any history", name)
		}
		t.Logf("%s: detected in %d of 20 histories", name, found)
	}
}

func TestReleaseHandsOverImmediately(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, DefaultConfig(), 3)
	w.clock.Run(10 * time.Second)
	h := w.holder()
	is.True(h != nil)
	h.act(h.lease.Release(h.now(), false))
	is.True(!h.lease.Valid(h.now())) // the holder stops before the release is written
	w.clock.Run(w.clock.Now() + 1500*time.Millisecond)
	is.True(h.lease.Stopped())
	next := w.holder()
	is.True(next != nil && next != h)
	is.Equal(next.gate.Allow(next.now(), "e", true), Open)  // the endpoint checks fencing numbers
	is.Equal(next.gate.Allow(next.now(), "e", false), Wait) // an order may still be in flight
}

// TestQuietReleaseOpensGateImmediately: after a release with quiet, the new holder
// need not wait, since no order of the former holder can still be in flight.
func TestQuietReleaseOpensGateImmediately(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, DefaultConfig(), 3)
	w.clock.Run(10 * time.Second)
	h := w.holder()
	h.act(h.lease.Release(h.now(), true))
	w.clock.Run(w.clock.Now() + 1500*time.Millisecond)
	next := w.holder()
	is.True(next != nil && next != h)
	is.True(next.gate.Allow(next.now(), "e", false) != Wait)
}

// TestRestartedDaemonTakesItsFormerLease: a restarted daemon acquires the lease of
// its former process at its first read; another daemon waits for the lease to lapse.
func TestRestartedDaemonTakesItsFormerLease(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.FormerEnded = true
	w := newSimulation(4, cfg, 1)
	w.clock.Run(10 * time.Second)
	h := w.holder()
	h.dead = true
	other := w.start(cfg, id.Process{Daemon: "other", Incarnation: 7})
	w.clock.Run(w.clock.Now() + cfg.WatchEvery)
	is.True(!other.lease.Valid(other.now()))
	again := w.start(cfg, id.Process{Daemon: h.self.Daemon, Incarnation: 2})
	w.clock.Run(w.clock.Now() + 2*cfg.WatchEvery)
	is.True(again.lease.Valid(again.now()))
	is.Equal(again.lease.Fence(), uint64(2))
	is.True(again.gate.Allow(again.now(), "e", false) != Wait)
}

// TestLapseCoveringOrdersOpensGateImmediately: after a lapse the gate waits unless
// LapseExceedsOrderDelay is set.
func TestLapseCoveringOrdersOpensGateImmediately(t *testing.T) {
	for _, covers := range []bool{false, true} {
		is := is.New(t)
		l := &Lease{heldFence: 2, trustedUntil: time.Hour}
		g := NewOrderGate(GateConfig{MaxOrderDelay: 4 * time.Second, LapseExceedsOrderDelay: covers}, l)
		g.Acquired(time.Minute, Acquired{Fence: 2, Lapsed: true})
		is.Equal(g.Allow(time.Minute, "e", false) == Wait, !covers)
	}
}

func TestPausedHolderStopsByItsOwnClock(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	w := newSimulation(2, cfg, 2)
	w.clock.Run(10 * time.Second)
	h := w.holder()
	h.paused = w.clock.Now() + 30*time.Second
	w.clock.Run(w.clock.Now() + cfg.TTL + cfg.Margin + 2*cfg.WatchEvery)
	next := w.holder()
	is.True(next != nil && next != h) // acquired by another process within TTL, margin and two reads
	is.True(!h.lease.Valid(h.now()))
	is.Equal(h.gate.Allow(h.now(), "e", true), Closed)
	is.True(next.lease.Fence() > h.gate.Fence())
}

func TestLeaseLapsesSafelyDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	w := newSimulation(3, cfg, 3)
	w.clock.Run(10 * time.Second)
	h := w.holder()
	w.model.Faults.Down = true
	w.clock.Run(w.clock.Now() + cfg.TTL)
	is.True(w.holder() == nil) // no process acts as the holder
	w.clock.Run(w.clock.Now() + 10*time.Minute)
	w.model.Faults.Down = false
	w.clock.Run(w.clock.Now() + cfg.MaxBackoff + cfg.TTL + cfg.Margin + 2*cfg.WatchEvery)
	is.True(w.holder() != nil)
	is.Equal(w.overlaps, 0)
	is.True(w.holder().lease.Fence() > 1 || w.holder() == h)
}

// TestAStoppingProcessLeavesALeaseOfAFormerEraAlone guards against a release in a row
// that an older copy brought back: it would free the lease of a later holder.
func TestAStoppingProcessLeavesALeaseOfAFormerEraAlone(t *testing.T) {
	is := is.New(t)
	self := id.Process{Daemon: "d1", Incarnation: 1}
	l := New(DefaultConfig(), "placement", self, 0, tabletest.NewClock(1).Random)
	l.phase, l.stopping, l.era = phaseRead, true, 1
	row, err := json.Marshal(Row{Holder: self, Fence: 5, Era: 1})
	is.NoErr(err)
	actions := l.Handle(time.Second, table.Reply{Status: table.Done, Era: 2, Rows: []table.Row{
		{Key: Key("placement"), Value: row, Version: table.VersionIn(2, 3)},
	}})
	is.Equal(len(actions), 0)
	is.True(l.Stopped())
}
