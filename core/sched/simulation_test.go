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

// world drives a ledger by seeded random events as from many daemons, loses
// and repeats messages, and keeps its own record of what was granted.
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
	// asked and served count by team.
	asked  map[id.Team]int
	served map[id.Team]int
}

// call is what a daemon knows of one request.
type call struct {
	want     Want
	grant    *Grant
	phase    Phase
	answered bool
	// dropped calls need no answer: withdrawn, or their daemon is gone.
	dropped bool
	// orphan is set while the ledger may not know that the daemon is gone.
	orphan bool
	// bound is set by the Binding of a provisional grant, waitsFrom when the
	// call began to wait for it, deaf once a Progress of it was lost.
	bound        bool
	waitsFrom    time.Duration
	progressLost bool
}

// dueEvent is something to happen.
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

// newWorld returns a world of 9 daemons.
func newSimulation(t *testing.T, seed uint64, o Options, doc *live.Document, faulty bool) *simulation {
	w := &simulation{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 7)),
		options: o,
		doc:     doc,
		calls:   map[id.Request]*call{},
		ended:   map[id.Request]bool{},
		asked:   map[id.Team]int{},
		served:  map[id.Team]int{},
		now:     2,
		faulty:  faulty,
	}
	for i := range 9 {
		w.daemons = append(w.daemons, id.Process{Daemon: id.Daemon(fmt.Sprintf("d%d", i)), Incarnation: 1})
	}
	w.ledger = testLedger(t, o, doc)
	return w
}

// after plans an event.
func (w *simulation) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.due, dueEvent{at: w.now + max(0, d), serial: w.serial, do: do})
}

// chance is true with a probability, and never in a world without faults.
func (w *simulation) chance(p float64) bool { return w.faulty && w.random.Float64() < p }

// between draws a duration.
func (w *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)))
}

// run lets all planned events happen, then what is due.
func (w *simulation) run() {
	for len(w.due) > 0 {
		w.step()
	}
	w.runUntilIdle()
	w.ledger.Audit()
}

// step lets the next event happen, a Tick that is due before it included.
func (w *simulation) step() {
	if w.ledger.Next() < w.due[0].at {
		w.tick()
		return
	}
	e := heap.Pop(&w.due).(dueEvent)
	w.now = e.at
	e.do()
	w.events++
	if w.events%1000 == 0 {
		w.ledger.Audit()
	}
}

// tick calls Tick when it is due. Nothing that was due may be left.
func (w *simulation) tick() {
	w.now = max(w.now, w.ledger.Next())
	w.deliver(w.ledger.Tick(w.now))
	if next := w.ledger.Next(); next <= w.now {
		w.t.Fatalf("the Tick at %v left what was due at %v", w.now, next)
	}
}

// quiet lets time pass until nothing is due.
func (w *simulation) runUntilIdle() {
	for w.ledger.Next() < never {
		w.tick()
	}
}

// arrivals brings a request now and plans the next, until done.
func (w *simulation) arrivals(team id.Team, every time.Duration, until int, shape func(*Want)) {
	if w.events >= until {
		return
	}
	w.serial++
	want := testWant(w.serial, team)
	want.From = w.daemons[w.random.IntN(len(w.daemons))]
	shape(&want)
	w.send(want)
	w.after(seconds(every.Seconds()*w.random.ExpFloat64()), func() { w.arrivals(team, every, until, shape) })
}

// send sends a Want, at times twice, and at times withdraws it.
func (w *simulation) send(want Want) {
	w.calls[want.Request] = &call{want: want}
	w.asked[want.Team]++
	w.deliver(w.ledger.Want(w.now, want))
	if w.chance(0.02) {
		w.deliver(w.ledger.Want(w.now, want))
	}
	if w.chance(0.02) {
		w.after(w.between(0, 300*ms), func() { w.withdraw(want.Request) })
	}
}

// withdraw drops a request that hasn't begun.
func (w *simulation) withdraw(r id.Request) {
	c := w.calls[r]
	if c == nil || c.phase != 0 || c.dropped {
		return
	}
	c.dropped = true
	c.grant = nil
	w.deliver(w.ledger.Withdraw(w.now, r))
}

// deliver takes the ledger's actions to the daemons.
func (w *simulation) deliver(actions []Action) {
	for _, a := range actions {
		if a.Grant != nil {
			w.takeGrant(a.Grant)
		}
		if a.Refusal != nil {
			w.takeRefusal(a.Refusal)
		}
		if a.Binding != nil {
			w.takeBinding(a.Binding)
		}
	}
}

// takeGrant begins the work, unless the message is lost.
func (w *simulation) takeGrant(g *Grant) {
	w.granted++
	c := w.calls[g.Request]
	if c == nil {
		w.t.Errorf("grant of unknown or ended request %s", g.Request)
		return
	}
	if c.orphan {
		return
	}
	if c.dropped {
		w.t.Errorf("grant of dropped request %s", g.Request)
	}
	if c.phase != 0 && c.grant != nil && c.grant.Reservation != g.Reservation {
		w.t.Errorf("request %s begun under %d is granted again as %d", g.Request, c.grant.Reservation, g.Reservation)
	}
	if c.grant != nil && c.grant.Reservation == g.Reservation {
		return
	}
	c.grant = g
	c.answered = true
	w.served[c.want.Team]++
	w.checkSlots(g.Decode)
	if w.chance(0.03) {
		w.loseGrant(c, g)
		return
	}
	w.after(g.StartIn, func() { w.advance(c, g, PhasePrefilling) })
}

// lose forgets a grant; half of the daemons ask again.
func (w *simulation) loseGrant(c *call, g *Grant) {
	again := w.random.IntN(2) == 0
	w.after(g.ExpiresIn+200*ms, func() {
		if c.grant != g || c.dropped {
			return
		}
		c.grant = nil
		if again && c.want.Age == 0 {
			w.deliver(w.ledger.Want(w.now, c.want))
			return
		}
		c.dropped = true
	})
}

// takeBinding checks that a binding is of the call's grant, and that its slot
// is one that a grant could have named.
func (w *simulation) takeBinding(b *Binding) {
	w.bound++
	c := w.calls[b.Request]
	if c == nil {
		if !w.ended[b.Request] {
			w.t.Errorf("binding of unknown request %s", b.Request)
		}
		return
	}
	if c.grant == nil {
		return
	}
	if c.grant.Reservation != b.Reservation {
		w.t.Errorf("request %s is bound to %d against its grant %d", b.Request, b.Reservation, c.grant.Reservation)
		return
	}
	c.bound = true
	if c.grant.Decode == b.Decode {
		return
	}
	if c.phase >= PhaseDecoding && c.progressLost {
		return // too late: the daemon has ordered the decode where it was granted
	}
	w.checkMove(c, b)
	c.grant.Decode = b.Decode
	w.checkSlots(b.Decode)
}

// checkMove checks a binding to another endpoint than the grant named.
func (w *simulation) checkMove(c *call, b *Binding) {
	if c.phase >= PhaseDecoding {
		w.t.Errorf("request %s is moved to %s while it decodes, and all was told", b.Request, b.Decode)
	}
	if slices.Contains(c.want.Avoid, b.Decode) {
		w.t.Errorf("request %s is moved to %s, which it avoids", b.Request, b.Decode)
	}
	e := w.ledger.endpoints[b.Decode]
	if e == nil || e.role() != live.RoleDecode || e.leaving() {
		w.t.Errorf("request %s is moved to %s, which takes no decodes", b.Request, b.Decode)
	}
}

// takeRefusal ends a call.
func (w *simulation) takeRefusal(r *Refusal) {
	w.refused++
	c := w.calls[r.Request]
	if c == nil {
		if !w.ended[r.Request] {
			w.t.Errorf("refusal of unknown request %s", r.Request)
		}
		return
	}
	if c.grant != nil && c.phase != 0 {
		w.t.Errorf("request %s is refused (%s) after its work began", r.Request, r.Code)
	}
	c.answered = true
	w.end(r.Request)
}

// end forgets a call but for its having been there.
func (w *simulation) end(r id.Request) {
	delete(w.calls, r)
	w.ended[r] = true
}

// checkSlots compares the live grants of an endpoint with its slots, by the
// world's own record.
func (w *simulation) checkSlots(name id.Endpoint) {
	if w.options.Reservation != Early || w.faulty {
		return
	}
	inUse := 0
	for _, c := range w.calls {
		if c.grant != nil && c.grant.Decode == name {
			inUse++
		}
	}
	for i := range w.doc.Endpoints {
		e := &w.doc.Endpoints[i]
		if e.Name == name && inUse > e.Slots {
			w.t.Errorf("endpoint %s: %d grants on %d slots", name, inUse, e.Slots)
		}
	}
}

// advance takes a granted request to a phase and plans the next.
func (w *simulation) advance(c *call, g *Grant, phase Phase) {
	if c.dropped || c.grant != g {
		return
	}
	if phase == PhaseDecoding && w.awaitsBinding(c, g) {
		w.after(bindingPoll, func() { w.advance(c, g, phase) })
		return
	}
	if phase < PhaseDone && w.chance(0.02) {
		phase = PhaseFailed + Phase(w.random.IntN(2))
	}
	c.phase = phase
	p := w.report(c, g, phase)
	if phase >= PhaseDone {
		w.end(g.Request)
	}
	if phase >= PhaseDone || !w.chance(0.02) {
		w.deliver(w.ledger.Progress(w.now, p))
	} else {
		c.progressLost = true
	}
	if w.chance(0.02) {
		w.deliver(w.ledger.Progress(w.now, p))
	}
	if phase < PhaseDone {
		w.after(w.phaseTime(c, phase), func() { w.advance(c, g, phase+1) })
	}
}

// bindingPoll is how often a call looks whether it was bound.
const bindingPoll = 5 * ms

// awaitsBinding is true while a provisional grant has to wait, as a daemon does.
func (w *simulation) awaitsBinding(c *call, g *Grant) bool {
	if !g.Provisional || c.bound {
		return false
	}
	if c.waitsFrom == 0 {
		c.waitsFrom = w.now
	}
	return w.now-c.waitsFrom < g.BindWithin
}

// report makes the Progress of a phase.
func (w *simulation) report(c *call, g *Grant, phase Phase) Progress {
	p := progressOf(g, phase)
	p.PromptTokens = c.want.PromptTokens
	p.OutputTokens = max(1, c.want.OutputTokens)
	if phase == PhaseFailed {
		p.Endpoint = g.Decode
		p.Full = w.random.IntN(3) == 0
		p.Leaving = !p.Full && w.random.IntN(4) == 0
	}
	return p
}

// phaseTime is how long a phase really takes.
func (w *simulation) phaseTime(c *call, phase Phase) time.Duration {
	off := 1.0
	if w.faulty {
		off = 0.5 + w.random.Float64()
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
