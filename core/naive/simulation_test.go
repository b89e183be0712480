package naive_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	ms      = time.Millisecond
	pool    = id.Pool("packets")
	service = id.Service("summaries")
	kvLife  = 800 * ms
	// messageDelay is the delay of a message between daemons or to an engine.
	messageDelay = 3 * ms / 2
	// transferTime is the transfer time of every KV cache.
	transferTime = 30 * ms
	// reportInterval and reportDelay are the interval and the delay of load reports.
	reportInterval = 100 * ms
	reportDelay    = 100 * ms
)

// simulation simulates engines and daemons that execute the scheduler's grants.
// Without a shared scheduler each daemon has its own.
type simulation struct {
	now        time.Duration
	queue      eventHeap
	serial     int
	random     *rand.Rand
	doc        *live.Document
	schedulers []sched.Scheduler
	shared     bool
	// strict makes decode engines refuse a KV cache that arrives while no slot is
	// free; otherwise they queue it until it expires.
	strict  bool
	engines map[id.Endpoint]*engine
	jobs    map[id.Request]*job
	result  result
}

// result counts the outcomes of the requests.
type result struct {
	requested, answered, inTime, refused, failed int
	prefills, wasted                             int
	// duplicates counts repeated grants or refusals of a request.
	duplicates int
}

// job is a request at its daemon.
type job struct {
	want     sched.Want
	daemon   int
	arrived  time.Duration
	grant    *sched.Grant
	output   int
	prefill  time.Duration
	answered bool
	// canDecode is set once the job may order its decode, kvReady once its
	// prefill is done.
	canDecode bool
	kvReady   bool
}

// engine is a prefill engine that runs one job at a time, or a decode engine with
// slots.
type engine struct {
	name    id.Endpoint
	slots   int
	running int
	busy    bool
	waiting []*job
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// document returns a configuration with 11 prefill engines and 11 decode engines,
// each of two slots.
func document(wasteWeight float64, patience time.Duration) *live.Document {
	doc := &live.Document{
		Revision: 1,
		Teams:    []live.Team{{Name: "t", Weight: 1, MaxInFlight: 1 << 20}},
		Pools:    []live.Pool{{Name: pool, EndpointSelector: "pool=packets"}},
		Services: []live.Service{{
			Name:        service,
			Type:        live.ServiceModel,
			Pool:        pool,
			PatienceMS:  int(patience / ms),
			WasteWeight: wasteWeight,
		}},
	}
	for i := range 22 {
		role := live.RolePrefill
		if i%2 == 1 {
			role = live.RoleDecode
		}
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name:   id.Endpoint(fmt.Sprintf("%s-%02d", role, i/2)),
			Labels: live.Labels{"pool": "packets", live.LabelRole: string(role)},
			Slots:  2,
		})
	}
	return doc
}

// newSimulation returns a simulation of nine daemons.
func newSimulation(doc *live.Document, seed uint64, shared bool, policy func() sched.Scheduler) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		doc:     doc,
		shared:  shared,
		engines: map[id.Endpoint]*engine{},
		jobs:    map[id.Request]*job{},
	}
	count := 9
	if shared {
		count = 1
	}
	for range count {
		scheduler := policy()
		scheduler.Configure(0, doc)
		s.schedulers = append(s.schedulers, scheduler)
	}
	for _, e := range doc.Endpoints {
		s.engines[e.Name] = &engine{name: e.Name, slots: e.Slots}
	}
	return s
}

// after schedules an event.
func (s *simulation) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, event{at: s.now + d, serial: s.serial, do: do})
}

// notify calls a daemon's scheduler after the message delay and delivers the
// resulting actions. A scheduler that is not shared is called without delay.
func (s *simulation) notify(daemon int, call func(scheduler sched.Scheduler) []sched.Action) {
	delay := time.Duration(0)
	if s.shared {
		delay = messageDelay
		daemon = 0
	}
	s.after(delay, func() { s.deliver(call(s.schedulers[daemon]), delay) })
}

// deliver delivers actions to their daemons after a delay.
func (s *simulation) deliver(actions []sched.Action, delay time.Duration) {
	for _, a := range actions {
		s.after(delay, func() { s.handleAction(a) })
	}
}

// handleAction handles an action of the scheduler at the job's daemon.
func (s *simulation) handleAction(a sched.Action) {
	if a.Binding != nil {
		j := s.jobs[a.Binding.Request]
		bound := *j.grant
		bound.Decode = a.Binding.Decode
		j.grant = &bound
		s.bind(j)
		return
	}
	if a.Refusal != nil {
		j := s.jobs[a.Refusal.Request]
		s.recordAnswer(j)
		s.result.refused++
		return
	}
	j := s.jobs[a.Grant.Request]
	s.recordAnswer(j)
	j.grant = a.Grant
	j.canDecode = !a.Grant.Provisional
	s.after(a.Grant.StartIn+messageDelay, func() { s.enqueuePrefill(j) })
	s.progress(j, sched.Progress{Phase: sched.PhasePrefilling})
}

// recordAnswer records a grant or refusal and counts duplicates.
func (s *simulation) recordAnswer(j *job) {
	if j.answered {
		s.result.duplicates++
	}
	j.answered = true
}

// progress reports the progress of a job to the scheduler.
func (s *simulation) progress(j *job, p sched.Progress) {
	p.Request = j.grant.Request
	p.Reservation = j.grant.Reservation
	p.PromptTokens = j.want.PromptTokens
	s.notify(j.daemon, func(scheduler sched.Scheduler) []sched.Action { return scheduler.Progress(s.now, p) })
}

// enqueuePrefill appends a job to its prefill engine's queue.
func (s *simulation) enqueuePrefill(j *job) {
	e := s.engines[j.grant.Prefill]
	e.waiting = append(e.waiting, j)
	s.startNextPrefill(e)
}

// startNextPrefill starts the next job that has not exceeded its patience.
func (s *simulation) startNextPrefill(e *engine) {
	for !e.busy && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.now-j.arrived > s.doc.Services[0].Patience() {
			s.result.failed++
			s.progress(j, sched.Progress{Phase: sched.PhaseCancelled})
			continue
		}
		e.busy = true
		s.result.prefills++
		s.after(j.prefill, func() {
			e.busy = false
			s.finishPrefill(j)
			s.startNextPrefill(e)
		})
	}
}

// finishPrefill orders the decode immediately if the grant is bound to a slot, else
// at the latest after BindWithin.
func (s *simulation) finishPrefill(j *job) {
	s.progress(j, sched.Progress{Phase: sched.PhaseTransferring, PrefillTime: j.prefill})
	j.kvReady = true
	if j.canDecode {
		s.requestDecode(j)
		return
	}
	s.after(j.grant.BindWithin, func() { s.bind(j) })
}

// bind allows a job to order its decode, and orders it if the KV cache is ready.
func (s *simulation) bind(j *job) {
	if j.canDecode {
		return
	}
	j.canDecode = true
	if j.kvReady {
		s.requestDecode(j)
	}
}

// requestDecode starts the decode, or queues the job while no slot is free.
func (s *simulation) requestDecode(j *job) {
	e := s.engines[j.grant.Decode]
	if e.running < e.slots {
		s.startDecode(e, j)
		return
	}
	e.waiting = append(e.waiting, j)
	if s.strict {
		s.expireKV(e, j)
		return
	}
	s.after(kvLife, func() { s.expireKV(e, j) })
}

// expireKV discards the KV cache of a job that is still queued and fails the job.
func (s *simulation) expireKV(e *engine, j *job) {
	for i, waiting := range e.waiting {
		if waiting != j {
			continue
		}
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
		s.result.wasted++
		s.result.failed++
		s.progress(j, sched.Progress{Phase: sched.PhaseFailed, Endpoint: e.name, Full: true})
		return
	}
}

// startDecode takes a slot, imports the KV cache and decodes.
func (s *simulation) startDecode(e *engine, j *job) {
	e.running++
	s.after(transferTime, func() {
		first := s.now + 20*ms - j.arrived
		s.progress(j, sched.Progress{Phase: sched.PhaseDecoding, TransferTime: transferTime})
		s.after(time.Duration(j.output)*20*ms, func() { s.finishDecode(e, j, first) })
	})
}

// finishDecode frees the slot and starts the next queued job.
func (s *simulation) finishDecode(e *engine, j *job, first time.Duration) {
	s.result.answered++
	if first <= s.doc.Services[0].Patience() {
		s.result.inTime++
	}
	s.progress(j, sched.Progress{Phase: sched.PhaseDone, OutputTokens: j.output})
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.startDecode(e, next)
	}
}

// scheduleArrivals adds requests at a rate until count have arrived.
func (s *simulation) scheduleArrivals(count int, rate float64) {
	n := s.result.requested
	if n >= count {
		return
	}
	s.result.requested++
	j := &job{daemon: n % 9, arrived: s.now}
	j.want = sched.Want{
		Request:      id.Request(fmt.Sprintf("r%06d", n)),
		Team:         "t",
		Service:      service,
		Pool:         pool,
		From:         id.Process{Daemon: id.Daemon(fmt.Sprintf("d%d", n%9)), Incarnation: 1},
		PromptTokens: 500 + s.random.IntN(5500),
		OutputTokens: 10 + s.random.IntN(30),
	}
	j.output = max(1, int(float64(j.want.OutputTokens)*(0.5+s.random.Float64())))
	j.prefill = time.Duration(float64(j.want.PromptTokens) / 20000 * (0.9 + 0.2*s.random.Float64()) * float64(time.Second))
	s.jobs[j.want.Request] = j
	s.notify(j.daemon, func(scheduler sched.Scheduler) []sched.Action { return scheduler.Want(s.now, j.want) })
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() { s.scheduleArrivals(count, rate) })
}

// scheduleReports sends every engine's load to every scheduler, with a delay, until
// all requests have arrived.
func (s *simulation) scheduleReports(count int) {
	if s.result.requested >= count {
		return
	}
	for i := range s.doc.Endpoints {
		e := s.engines[s.doc.Endpoints[i].Name]
		load := sched.Load{Endpoint: e.name, Reachable: true, Running: e.running, Waiting: len(e.waiting)}
		if e.busy {
			load.Running++
		}
		for _, scheduler := range s.schedulers {
			s.after(reportDelay, func() { s.deliver(scheduler.Load(s.now, load), messageDelay) })
		}
	}
	s.after(reportInterval, func() { s.scheduleReports(count) })
}

// run executes all events and returns the outcomes of the requests.
func (s *simulation) run(count int, rate float64) result {
	s.scheduleReports(count)
	s.after(400*ms, func() { s.scheduleArrivals(count, rate) })
	for len(s.queue) > 0 {
		if s.runDueTick() {
			continue
		}
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

// runDueTick calls the first scheduler whose Tick is due before the next event, and
// reports whether there was one.
func (s *simulation) runDueTick() bool {
	for _, scheduler := range s.schedulers {
		next := scheduler.Next()
		if next < s.queue[0].at {
			s.now = max(s.now, next)
			s.deliver(scheduler.Tick(s.now), messageDelay)
			return true
		}
	}
	return false
}
