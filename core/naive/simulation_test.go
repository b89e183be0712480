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
	// wire is the time of a message between daemons, and to an engine.
	messageDelay = 3 * ms / 2
	// transferTime is that of every KV cache.
	transferTime = 30 * ms
	// reportEvery and reportLag are those of load reports.
	reportInterval = 100 * ms
	reportDelay    = 100 * ms
)

// model is a small fake of engines and of daemons that follow their grants.
// Without a shared scheduler each daemon has its own.
type simulation struct {
	now        time.Duration
	queue      eventHeap
	serial     int
	random     *rand.Rand
	doc        *live.Document
	schedulers []sched.Scheduler
	shared     bool
	// strict decode engines refuse a KV cache that comes while no slot is
	// free; others let it wait for as long as it lives.
	strict  bool
	engines map[id.Endpoint]*engine
	jobs    map[id.Request]*job
	result  result
}

// result is what became of the requests.
type result struct {
	requested, answered, inTime, refused, failed int
	prefills, wasted                             int
	// twice counts requests that were granted or refused more than once.
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
	// bound is set once the job may order its decode; read once the KV cache
	// waits for that.
	canDecode bool
	kvReady   bool
}

// engine is a prefill engine that takes its jobs in turn, or a decode engine
// with slots.
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

// document is 11 prefill engines, and 11 decode engines of two slots.
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

// newModel returns a model of nine daemons.
func newSimulation(doc *live.Document, seed uint64, shared bool, policy func() sched.Scheduler) *simulation {
	m := &simulation{
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
		s := policy()
		s.Configure(0, doc)
		m.schedulers = append(m.schedulers, s)
	}
	for _, e := range doc.Endpoints {
		m.engines[e.Name] = &engine{name: e.Name, slots: e.Slots}
	}
	return m
}

// after plans an event.
func (m *simulation) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.queue, event{at: m.now + d, serial: m.serial, do: do})
}

// tell hands something to a daemon's scheduler, after its way there, and the
// actions back.
func (m *simulation) notify(daemon int, what func(s sched.Scheduler) []sched.Action) {
	way := time.Duration(0)
	if m.shared {
		way = messageDelay
		daemon = 0
	}
	m.after(way, func() { m.deliver(what(m.schedulers[daemon]), way) })
}

// deliver takes actions to their daemons.
func (m *simulation) deliver(actions []sched.Action, way time.Duration) {
	for _, a := range actions {
		m.after(way, func() { m.handleAction(a) })
	}
}

// act is what a daemon does on an answer.
func (m *simulation) handleAction(a sched.Action) {
	if a.Binding != nil {
		j := m.jobs[a.Binding.Request]
		bound := *j.grant
		bound.Decode = a.Binding.Decode
		j.grant = &bound
		m.bind(j)
		return
	}
	if a.Refusal != nil {
		j := m.jobs[a.Refusal.Request]
		m.recordAnswer(j)
		m.result.refused++
		return
	}
	j := m.jobs[a.Grant.Request]
	m.recordAnswer(j)
	j.grant = a.Grant
	j.canDecode = !a.Grant.Provisional
	m.after(a.Grant.StartIn+messageDelay, func() { m.enqueuePrefill(j) })
	m.progress(j, sched.Progress{Phase: sched.PhasePrefilling})
}

// answer counts an answer.
func (m *simulation) recordAnswer(j *job) {
	if j.answered {
		m.result.duplicates++
	}
	j.answered = true
}

// progress tells the scheduler how a job fares.
func (m *simulation) progress(j *job, p sched.Progress) {
	p.Request = j.grant.Request
	p.Reservation = j.grant.Reservation
	p.PromptTokens = j.want.PromptTokens
	m.notify(j.daemon, func(s sched.Scheduler) []sched.Action { return s.Progress(m.now, p) })
}

// order puts a job into its prefill engine's queue.
func (m *simulation) enqueuePrefill(j *job) {
	e := m.engines[j.grant.Prefill]
	e.waiting = append(e.waiting, j)
	m.startNextPrefill(e)
}

// nextPrefill begins the next job whose caller still waits.
func (m *simulation) startNextPrefill(e *engine) {
	for !e.busy && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if m.now-j.arrived > m.doc.Services[0].Patience() {
			m.result.failed++
			m.progress(j, sched.Progress{Phase: sched.PhaseCancelled})
			continue
		}
		e.busy = true
		m.result.prefills++
		m.after(j.prefill, func() {
			e.busy = false
			m.finishPrefill(j)
			m.startNextPrefill(e)
		})
	}
}

// prefilled hands a KV cache over, if its grant is bound to a slot or once it
// has waited long enough for that.
func (m *simulation) finishPrefill(j *job) {
	m.progress(j, sched.Progress{Phase: sched.PhaseTransferring, PrefillTime: j.prefill})
	j.kvReady = true
	if j.canDecode {
		m.requestDecode(j)
		return
	}
	m.after(j.grant.BindWithin, func() { m.bind(j) })
}

// bind lets a job order its decode, at once if its KV cache waits for that.
func (m *simulation) bind(j *job) {
	if j.canDecode {
		return
	}
	j.canDecode = true
	if j.kvReady {
		m.requestDecode(j)
	}
}

// handOver orders the decode.
func (m *simulation) requestDecode(j *job) {
	e := m.engines[j.grant.Decode]
	if e.running < e.slots {
		m.startDecode(e, j)
		return
	}
	e.waiting = append(e.waiting, j)
	if m.strict {
		m.expireKV(e, j)
		return
	}
	m.after(kvLife, func() { m.expireKV(e, j) })
}

// expire gives up a KV cache that was not handed over.
func (m *simulation) expireKV(e *engine, j *job) {
	for i, w := range e.waiting {
		if w != j {
			continue
		}
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
		m.result.wasted++
		m.result.failed++
		m.progress(j, sched.Progress{Phase: sched.PhaseFailed, Endpoint: e.name, Full: true})
		return
	}
}

// transfer takes a slot and decodes.
func (m *simulation) startDecode(e *engine, j *job) {
	e.running++
	m.after(transferTime, func() {
		first := m.now + 20*ms - j.arrived
		m.progress(j, sched.Progress{Phase: sched.PhaseDecoding, TransferTime: transferTime})
		m.after(time.Duration(j.output)*20*ms, func() { m.finishDecode(e, j, first) })
	})
}

// done frees the slot for the next KV cache that waits.
func (m *simulation) finishDecode(e *engine, j *job, first time.Duration) {
	m.result.answered++
	if first <= m.doc.Services[0].Patience() {
		m.result.inTime++
	}
	m.progress(j, sched.Progress{Phase: sched.PhaseDone, OutputTokens: j.output})
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		m.startDecode(e, next)
	}
}

// arrive brings requests at a rate until a number has come.
func (m *simulation) scheduleArrivals(count int, rate float64) {
	n := m.result.requested
	if n >= count {
		return
	}
	m.result.requested++
	j := &job{daemon: n % 9, arrived: m.now}
	j.want = sched.Want{
		Request:      id.Request(fmt.Sprintf("r%06d", n)),
		Team:         "t",
		Service:      service,
		Pool:         pool,
		From:         id.Process{Daemon: id.Daemon(fmt.Sprintf("d%d", n%9)), Incarnation: 1},
		PromptTokens: 500 + m.random.IntN(5500),
		OutputTokens: 10 + m.random.IntN(30),
	}
	j.output = max(1, int(float64(j.want.OutputTokens)*(0.5+m.random.Float64())))
	j.prefill = time.Duration(float64(j.want.PromptTokens) / 20000 * (0.9 + 0.2*m.random.Float64()) * float64(time.Second))
	m.jobs[j.want.Request] = j
	m.notify(j.daemon, func(s sched.Scheduler) []sched.Action { return s.Want(m.now, j.want) })
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() { m.scheduleArrivals(count, rate) })
}

// reports sends every engine's load to every scheduler, late, until the
// requests have come.
func (m *simulation) scheduleReports(count int) {
	if m.result.requested >= count {
		return
	}
	for i := range m.doc.Endpoints {
		e := m.engines[m.doc.Endpoints[i].Name]
		load := sched.Load{Endpoint: e.name, Reachable: true, Running: e.running, Waiting: len(e.waiting)}
		if e.busy {
			load.Running++
		}
		for _, s := range m.schedulers {
			m.after(reportDelay, func() { m.deliver(s.Load(m.now, load), messageDelay) })
		}
	}
	m.after(reportInterval, func() { m.scheduleReports(count) })
}

// run lets all happen and returns what became of the requests.
func (m *simulation) run(count int, rate float64) result {
	m.scheduleReports(count)
	m.after(400*ms, func() { m.scheduleArrivals(count, rate) })
	for len(m.queue) > 0 {
		if m.runDueTick() {
			continue
		}
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	return m.result
}

// tick calls the first scheduler whose Tick is due before the next event.
func (m *simulation) runDueTick() bool {
	for _, s := range m.schedulers {
		next := s.Next()
		if next < m.queue[0].at {
			m.now = max(m.now, next)
			m.deliver(s.Tick(m.now), messageDelay)
			return true
		}
	}
	return false
}
