package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Replay is the replay of one load against one scheduler.
type Replay struct {
	Load    Load
	Callers Callers
	Engines Engines
	Owner   Owner
	// New returns the scheduler of the pool.
	New func(pool id.Pool, self id.Process) sched.Scheduler
}

const (
	poolName    id.Pool    = "p"
	serviceName id.Service = "s"
	teamName    id.Team    = "t"
	// warmup is how long before the first arrival the scheduler starts.
	warmup = time.Second
	// messageDelay is the delay of a message between a daemon and the pool's
	// owner.
	messageDelay = time.Millisecond
)

var process = id.Process{Daemon: "d1", Incarnation: 1}

// caller is one caller's request over all its attempts.
type caller struct {
	arrival
	number   int
	arrived  time.Duration
	retries  int
	refusals int
	outcome  outcome
	// attempt is the request ID of the current attempt, attemptAt when it was
	// sent.
	attempt   id.Request
	attemptAt time.Duration
	run       *run
	// requester sends the Want of the current attempt and repeats it if
	// unanswered.
	requester *pairing.Requester
}

// simulation is the state of a replay.
type simulation struct {
	Replay
	rng       *rand.Rand
	now       time.Duration
	scheduler sched.Scheduler
	owner     owner
	events    eventHeap
	serial    int
	callers   []*caller
	wants     map[id.Request]*caller
	prefills  map[id.Endpoint]*prefillEngine
	decodes   map[id.Endpoint]*decodeEngine

	// slowdown is the current factor on the engines' times.
	slowdown float64

	refusalWaits []time.Duration
	// refusedPermanently counts the callers that were refused with a code that
	// rules out a retry.
	refusedPermanently int
	wastedTokens       int
	preempted          int
	// lostAt are the times at which answers were lost.
	lostAt []time.Duration
	// longRefusals counts the refusals after a long wait.
	longRefusals int
}

// Run replays the load with the given seed.
func (r Replay) Run(seed uint64) *Result {
	w := &simulation{
		Replay:    r,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		now:       warmup,
		scheduler: r.New(poolName, process),
		wants:     map[id.Request]*caller{},
		prefills:  map[id.Endpoint]*prefillEngine{},
		decodes:   map[id.Endpoint]*decodeEngine{},
		slowdown:  1,
	}
	w.owner.w = w
	w.configure()
	for _, s := range r.Engines.Slowdowns {
		w.schedule(warmup+s.At, func() { w.setSlowdown(s.Factor) })
		w.schedule(warmup+s.At+s.For, func() { w.setSlowdown(1) })
	}
	for i, a := range r.Load.arrivals(w.rng) {
		c := &caller{arrival: a, number: i, arrived: a.at}
		w.callers = append(w.callers, c)
		w.schedule(warmup+a.at, func() { w.sendRequest(c) })
	}
	w.run()
	return w.result()
}

func (w *simulation) configure() {
	doc := &live.Document{
		Teams: []live.Team{{Name: teamName}},
		Services: []live.Service{{
			Name: serviceName, Pool: poolName, PatienceMS: int(w.Callers.ServicePatience.Milliseconds()),
		}},
		Pools: []live.Pool{{Name: poolName, EndpointSelector: "in=p"}},
	}
	add := func(role live.Role, n int) {
		for i := range n {
			name := id.Endpoint(fmt.Sprintf("%s-%02d", role, i))
			doc.Endpoints = append(doc.Endpoints, live.Endpoint{
				Name: name, Labels: live.Labels{"in": "p", live.LabelRole: string(role)},
				Domain: id.Domain(fmt.Sprint(i % 3)), Slots: w.Engines.Batch, KVTokens: w.Engines.Memory,
				PrefillTokensPerSecond: w.Engines.PrefillRate,
				DecodeTokenMS:          float64(w.Engines.Step) / float64(time.Millisecond),
			})
			if role == live.RolePrefill {
				w.prefills[name] = newPrefillEngine(w)
				continue
			}
			w.decodes[name] = newDecodeEngine(w)
			w.decodes[name].lossy = i%2 == 0 || w.Engines.Lossy.All
		}
	}
	add(live.RolePrefill, w.Engines.Prefills)
	add(live.RoleDecode, w.Engines.Decodes)
	w.apply(w.scheduler.Configure(0, doc))
}

// run processes the events in order and ticks the scheduler when it is due.
func (w *simulation) run() {
	end := warmup + w.Load.Length + w.Callers.Deadline
	for w.events.Len() > 0 {
		next := w.owner.nextTick()
		if due := w.events[0].at; next > due {
			e := heap.Pop(&w.events).(event)
			w.now = max(w.now, e.at)
			e.do()
			continue
		}
		w.now = max(w.now+time.Microsecond, next)
		if w.now > end {
			return
		}
		w.owner.handle(func() []sched.Action { return w.scheduler.Tick(w.now) })
	}
}

// sendRequest sends a caller's request, as a new attempt.
func (w *simulation) sendRequest(c *caller) {
	c.attemptAt = w.now
	c.attempt = id.Request(fmt.Sprintf("%d.%d", c.number, c.retries))
	w.wants[c.attempt] = c
	attempt := c.attempt
	w.schedule(w.now+w.Callers.Patience, func() { w.abandon(c, attempt) })
	want := sched.Want{
		Request: c.attempt, Team: teamName, Service: serviceName, Pool: poolName, From: process,
		PromptTokens: c.prompt, OutputTokens: c.guess, Priority: w.kind(c).Priority, Attempt: 1,
		Target: w.kind(c).Target, Content: uint64(c.number + 1), Patience: w.Callers.Patience - 500*time.Millisecond, Lifetime: w.Callers.Deadline,
		Pause: w.Callers.Pause,
	}
	c.requester = pairing.New(process, pairing.Options{Local: true})
	w.send(c, c.requester.Request(w.now, want, want.Patience))
}

// kind returns the kind of a caller's request.
func (w *simulation) kind(c *caller) Kind {
	if len(w.Load.Kinds) == 0 {
		return Kind{Share: 1, Priority: 5, Target: w.Callers.Target, Worth: 1}
	}
	return w.Load.Kinds[c.kind]
}

// send delivers the output of a caller's requester and schedules the
// requester's next tick, so that an unanswered Want is repeated.
func (w *simulation) send(c *caller, out pairing.Output) {
	for _, m := range out.Messages {
		if m.Want != nil {
			w.owner.handle(func() []sched.Action { return w.scheduler.Want(w.now, *m.Want) })
		}
	}
	for _, a := range out.Answers {
		w.refused(&sched.Refusal{Request: a.Request, RetryAfter: a.Err.RetryAfter})
	}
	attempt := c.attempt
	w.schedule(max(w.now, c.requester.Next()), func() {
		if c.attempt == attempt && c.run == nil && c.outcome == unserved {
			w.send(c, c.requester.Tick(w.now))
		}
	})
}

// abandon ends the request of a caller whose patience has expired before the
// first event.
func (w *simulation) abandon(c *caller, attempt id.Request) {
	if c.attempt != attempt || c.outcome != unserved || (c.run != nil && c.run.started) {
		return
	}
	c.outcome = abandoned
	if c.run != nil {
		w.wastedTokens += c.prompt
		if p := w.prefills[c.run.grant.Prefill]; p != nil {
			p.drop(c.run)
		}
		c.run.engine.drop(c.run)
	}
	w.owner.handle(func() []sched.Action { return w.scheduler.Withdraw(w.now, attempt) })
}

// apply carries out the scheduler's actions.
func (w *simulation) apply(actions []sched.Action) {
	for _, a := range actions {
		switch {
		case a.Grant != nil:
			w.granted(a.Grant)
		case a.Refusal != nil:
			w.refused(a.Refusal)
		}
	}
}

func (w *simulation) granted(g *sched.Grant) {
	c := w.wants[g.Request]
	if c == nil || c.attempt != g.Request || c.outcome != unserved {
		return
	}
	r := &run{caller: c, grant: g, engine: w.decodes[g.Decode]}
	c.run = r
	if g.Prefill == "" {
		r.engine.prefillLocally(r)
		return
	}
	if g.StartIn > 0 {
		w.schedule(w.now+g.StartIn, func() { w.prefills[g.Prefill].prefill(r) })
		return
	}
	w.prefills[g.Prefill].prefill(r)
}

// setSlowdown changes the speed of all engines.
func (w *simulation) setSlowdown(factor float64) {
	for _, e := range w.decodes {
		e.countTokens()
	}
	w.slowdown = factor
	for _, e := range w.decodes {
		e.scheduleNext()
	}
}

func (w *simulation) prefillTime(tokens int, speed float64) time.Duration {
	return time.Duration(w.slowdown * float64(tokens) / (speed * w.Engines.PrefillRate) * float64(time.Second))
}

// refused handles a refusal: the caller retries after the advised delay or at
// once, or ends.
func (w *simulation) refused(r *sched.Refusal) {
	c := w.wants[r.Request]
	if c == nil || c.attempt != r.Request || c.outcome != unserved {
		return
	}
	waited := w.now - c.attemptAt
	w.refusalWaits = append(w.refusalWaits, waited)
	if float64(waited) > longWaitShare*float64(w.kind(c).Target) {
		w.longRefusals++
	}
	c.refusals++
	if r.Code == verdict.CodeTooLarge {
		w.refusedPermanently++
		c.outcome = refused
		return
	}
	if c.retries >= w.Callers.Retries {
		c.outcome = refused
		return
	}
	c.retries++
	remaining := c.arrived + warmup + w.Callers.Deadline - w.now
	wait := min(r.RetryAfter, time.Duration(w.Callers.WaitShare*float64(remaining)))
	if w.rng.Float64() < w.Callers.AtOnce {
		wait = 0
	}
	c.attempt = ""
	w.schedule(w.now+wait+messageDelay, func() { w.sendRequest(c) })
}

// firstEvent records the first event of a caller's answer.
func (w *simulation) firstEvent(c *caller) {
	c.outcome = late
	if w.now-warmup-c.arrived <= w.kind(c).Target {
		c.outcome = inTime
	}
}

// progress reports the phase of a request to the scheduler.
func (w *simulation) progress(r *run, phase sched.Phase) { w.report(r, sched.Progress{Phase: phase}) }

// report reports the progress of a request to the scheduler, with its measured
// times.
func (w *simulation) report(r *run, p sched.Progress) {
	p.Request, p.Reservation, p.Endpoint = r.grant.Request, r.grant.Reservation, r.grant.Decode
	p.PromptTokens, p.OutputTokens = r.caller.prompt, r.caller.output
	w.schedule(w.now+messageDelay, func() {
		w.owner.handle(func() []sched.Action { return w.scheduler.Progress(w.now, p) })
	})
}

// event is a function to run at a simulated time.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

// schedule runs a function at a simulated time; functions for the same time run
// in the order in which they were scheduled.
func (w *simulation) schedule(t time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: t, serial: w.serial, do: do})
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
