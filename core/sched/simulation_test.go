package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// simulation drives a ledger with seeded random events of many daemons, loses
// and repeats messages, and keeps its own record of the grants.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	options Options
	doc     *live.Document
	ledger  *Ledger
	now     time.Duration
	due     dueHeap
	serial  int
	events  int
	daemons []id.Process
	calls   map[id.Request]*call
	ended   map[id.Request]bool
	faulty  bool
	granted int
	refused int
	bound   int
	// requested and served count the requests and the grants by team.
	requested map[id.Team]int
	served    map[id.Team]int
}

// call is a daemon's state of one request.
type call struct {
	want     Want
	grant    *Grant
	phase    Phase
	answered bool
	// dropped is set on calls that need no answer: they were withdrawn, or their
	// daemon is gone.
	dropped bool
	// orphan is set until the ledger is notified that the daemon is gone.
	orphan bool
	// bound is set by the Binding of a provisional grant; waitsFrom is when the
	// call began to wait for it; progressLost is set once a Progress was lost.
	bound        bool
	waitsFrom    time.Duration
	progressLost bool
}

// dueEvent is a scheduled event.
type dueEvent struct {
	at     time.Duration
	serial int
	do     func()
}

type dueHeap []dueEvent

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueEvent)) }
func (h *dueHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// newSimulation returns a simulation with 9 daemons.
func newSimulation(t *testing.T, seed uint64, o Options, doc *live.Document, faulty bool) *simulation {
	sim := &simulation{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 7)),
		options:   o,
		doc:       doc,
		calls:     map[id.Request]*call{},
		ended:     map[id.Request]bool{},
		requested: map[id.Team]int{},
		served:    map[id.Team]int{},
		now:       2,
		faulty:    faulty,
	}
	for i := range 9 {
		sim.daemons = append(sim.daemons, id.Process{Daemon: id.Daemon(fmt.Sprintf("d%d", i)), Incarnation: 1})
	}
	sim.ledger = testLedger(t, o, doc)
	return sim
}

// after schedules an event.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.due, dueEvent{at: sim.now + max(0, d), serial: sim.serial, do: do})
}

// chance is true with probability p, and never in a simulation without faults.
func (sim *simulation) chance(p float64) bool { return sim.faulty && sim.random.Float64() < p }

// between returns a random duration.
func (sim *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(sim.random.Int64N(int64(b-a)))
}

// run executes all scheduled events and then all ticks that are due.
func (sim *simulation) run() {
	for len(sim.due) > 0 {
		sim.step()
	}
	sim.runUntilIdle()
	sim.ledger.Audit()
}

// step executes the next event, or a Tick that is due before it.
func (sim *simulation) step() {
	if sim.ledger.Next() < sim.due[0].at {
		sim.tick()
		return
	}
	e := heap.Pop(&sim.due).(dueEvent)
	sim.now = e.at
	e.do()
	sim.events++
	if sim.events%1000 == 0 {
		sim.ledger.Audit()
	}
}

// tick calls Tick when it is due and asserts that no due work is left.
func (sim *simulation) tick() {
	sim.now = max(sim.now, sim.ledger.Next())
	sim.deliver(sim.ledger.Tick(sim.now))
	if next := sim.ledger.Next(); next <= sim.now {
		sim.t.Fatalf("the Tick at %v left work that was due at %v", sim.now, next)
	}
}

// runUntilIdle advances time until nothing is due.
func (sim *simulation) runUntilIdle() {
	for sim.ledger.Next() < never {
		sim.tick()
	}
}

// arrivals sends a request now and schedules the next one, until the given number
// of events.
func (sim *simulation) arrivals(team id.Team, every time.Duration, until int, shape func(*Want)) {
	if sim.events >= until {
		return
	}
	sim.serial++
	want := testWant(sim.serial, team)
	want.From = sim.daemons[sim.random.IntN(len(sim.daemons))]
	shape(&want)
	sim.send(want)
	sim.after(seconds(every.Seconds()*sim.random.ExpFloat64()), func() { sim.arrivals(team, every, until, shape) })
}

// send sends a Want, sometimes twice, and sometimes withdraws it.
func (sim *simulation) send(want Want) {
	sim.calls[want.Request] = &call{want: want}
	sim.requested[want.Team]++
	sim.deliver(sim.ledger.Want(sim.now, want))
	if sim.chance(0.02) {
		sim.deliver(sim.ledger.Want(sim.now, want))
	}
	if sim.chance(0.02) {
		sim.after(sim.between(0, 300*ms), func() { sim.withdraw(want.Request) })
	}
}

// withdraw withdraws a request that has not begun.
func (sim *simulation) withdraw(r id.Request) {
	c := sim.calls[r]
	if c == nil || c.phase != 0 || c.dropped {
		return
	}
	c.dropped = true
	c.grant = nil
	sim.deliver(sim.ledger.Withdraw(sim.now, r))
}

// deliver delivers the ledger's actions to the daemons.
func (sim *simulation) deliver(actions []Action) {
	for _, a := range actions {
		if a.Grant != nil {
			sim.takeGrant(a.Grant)
		}
		if a.Refusal != nil {
			sim.takeRefusal(a.Refusal)
		}
		if a.Binding != nil {
			sim.takeBinding(a.Binding)
		}
	}
}

// takeGrant starts the request, unless the message is lost.
func (sim *simulation) takeGrant(g *Grant) {
	sim.granted++
	c := sim.calls[g.Request]
	if c == nil {
		sim.t.Errorf("grant of unknown or ended request %s", g.Request)
		return
	}
	if c.orphan {
		return
	}
	if c.dropped {
		sim.t.Errorf("grant of dropped request %s", g.Request)
	}
	if c.phase != 0 && c.grant != nil && c.grant.Reservation != g.Reservation {
		sim.t.Errorf("request %s begun under %d is granted again as %d", g.Request, c.grant.Reservation, g.Reservation)
	}
	if c.grant != nil && c.grant.Reservation == g.Reservation {
		return
	}
	c.grant = g
	c.answered = true
	sim.served[c.want.Team]++
	sim.checkSlots(g.Decode)
	if sim.chance(0.03) {
		sim.loseGrant(c, g)
		return
	}
	sim.after(g.StartIn, func() { sim.advance(c, g, PhasePrefilling) })
}

// loseGrant discards a grant; half of the daemons send the Want again.
func (sim *simulation) loseGrant(c *call, g *Grant) {
	again := sim.random.IntN(2) == 0
	sim.after(g.ExpiresIn+200*ms, func() {
		if c.grant != g || c.dropped {
			return
		}
		c.grant = nil
		if again && c.want.Age == 0 {
			sim.deliver(sim.ledger.Want(sim.now, c.want))
			return
		}
		c.dropped = true
	})
}

// takeBinding checks that a Binding belongs to the call's grant, and that a grant
// could have named its endpoint.
func (sim *simulation) takeBinding(b *Binding) {
	sim.bound++
	c := sim.calls[b.Request]
	if c == nil {
		if !sim.ended[b.Request] {
			sim.t.Errorf("binding of unknown request %s", b.Request)
		}
		return
	}
	if c.grant == nil {
		return
	}
	if c.grant.Reservation != b.Reservation {
		sim.t.Errorf("request %s is bound to %d against its grant %d", b.Request, b.Reservation, c.grant.Reservation)
		return
	}
	c.bound = true
	if c.grant.Decode == b.Decode {
		return
	}
	if c.phase >= PhaseDecoding && c.progressLost {
		return // too late: the daemon has started the decode on the granted endpoint
	}
	sim.checkMove(c, b)
	c.grant.Decode = b.Decode
	sim.checkSlots(b.Decode)
}

// checkMove checks a Binding to another endpoint than the granted one.
func (sim *simulation) checkMove(c *call, b *Binding) {
	if c.phase >= PhaseDecoding {
		sim.t.Errorf("request %s is moved to %s while it decodes, although no Progress was lost", b.Request, b.Decode)
	}
	if slices.Contains(c.want.Avoid, b.Decode) {
		sim.t.Errorf("request %s is moved to %s, which it avoids", b.Request, b.Decode)
	}
	e := sim.ledger.endpoints[b.Decode]
	if e == nil || e.role() != live.RoleDecode || e.leaving() {
		sim.t.Errorf("request %s is moved to %s, which accepts no decodes", b.Request, b.Decode)
	}
}

// takeRefusal ends a call.
func (sim *simulation) takeRefusal(r *Refusal) {
	sim.refused++
	c := sim.calls[r.Request]
	if c == nil {
		if !sim.ended[r.Request] {
			sim.t.Errorf("refusal of unknown request %s", r.Request)
		}
		return
	}
	if c.grant != nil && c.phase != 0 {
		sim.t.Errorf("request %s is refused (%s) after its work began", r.Request, r.Code)
	}
	c.answered = true
	sim.end(r.Request)
}

// end deletes a call and records that it has ended.
func (sim *simulation) end(r id.Request) {
	delete(sim.calls, r)
	sim.ended[r] = true
}

// checkSlots checks from the simulation's own record that the live grants of an
// endpoint do not exceed its slots.
func (sim *simulation) checkSlots(name id.Endpoint) {
	if sim.options.Reservation != Early || sim.faulty {
		return
	}
	inUse := 0
	for _, c := range sim.calls {
		if c.grant != nil && c.grant.Decode == name {
			inUse++
		}
	}
	for i := range sim.doc.Endpoints {
		e := &sim.doc.Endpoints[i]
		if e.Name == name && inUse > e.Slots {
			sim.t.Errorf("endpoint %s: %d grants on %d slots", name, inUse, e.Slots)
		}
	}
}

// advance moves a granted request to a phase and schedules the next one.
func (sim *simulation) advance(c *call, g *Grant, phase Phase) {
	if c.dropped || c.grant != g {
		return
	}
	if phase == PhaseDecoding && sim.awaitsBinding(c, g) {
		sim.after(bindingPoll, func() { sim.advance(c, g, phase) })
		return
	}
	if phase < PhaseDone && sim.chance(0.02) {
		phase = PhaseFailed + Phase(sim.random.IntN(2))
	}
	c.phase = phase
	p := sim.report(c, g, phase)
	if phase >= PhaseDone {
		sim.end(g.Request)
	}
	if phase >= PhaseDone || !sim.chance(0.02) {
		sim.deliver(sim.ledger.Progress(sim.now, p))
	} else {
		c.progressLost = true
	}
	if sim.chance(0.02) {
		sim.deliver(sim.ledger.Progress(sim.now, p))
	}
	if phase < PhaseDone {
		sim.after(sim.phaseTime(c, phase), func() { sim.advance(c, g, phase+1) })
	}
}

// bindingPoll is the interval at which a call checks whether it is bound.
const bindingPoll = 5 * ms

// awaitsBinding is true while a provisional grant waits for its Binding, as a
// daemon does.
func (sim *simulation) awaitsBinding(c *call, g *Grant) bool {
	if !g.Provisional || c.bound {
		return false
	}
	if c.waitsFrom == 0 {
		c.waitsFrom = sim.now
	}
	return sim.now-c.waitsFrom < g.BindWithin
}

// report returns the Progress of a phase.
func (sim *simulation) report(c *call, g *Grant, phase Phase) Progress {
	p := progressOf(g, phase)
	p.PromptTokens = c.want.PromptTokens
	p.OutputTokens = max(1, c.want.OutputTokens)
	if phase == PhaseFailed {
		p.Endpoint = g.Decode
		p.Full = sim.random.IntN(3) == 0
		p.Leaving = !p.Full && sim.random.IntN(4) == 0
	}
	return p
}

// phaseTime returns the actual duration of a phase.
func (sim *simulation) phaseTime(c *call, phase Phase) time.Duration {
	off := 1.0
	if sim.faulty {
		off = 0.5 + sim.random.Float64()
	}
	switch phase {
	case PhasePrefilling:
		return seconds(off * float64(c.want.PromptTokens) / live.DefaultPrefillPerSecond)
	case PhaseTransferring:
		return seconds(off * 0.03)
	default:
		return seconds(off * float64(c.want.OutputTokens) * live.DefaultDecodeTokenMS / 1000)
	}
}
