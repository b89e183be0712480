package randomrun

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/reap"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/stream"
)

const (
	// kvLife is how long an exported KV cache lives.
	kvLife = 800 * ms
	// keepFinished is how long a finished answer can be resumed.
	finishedRetention = 15 * time.Second
)

// outcome is an engine's answer to an order.
type outcome int

const (
	accepted outcome = iota
	refusedFull
	refusedLeaving
	refusedCancelled
	refusedKVGone
	broken
)

// engine is a minimal engine: what it holds are entries of maps.
type engine struct {
	sim          *simulation
	name         id.Endpoint
	role         live.Role
	slots        int
	incarnation  id.Incarnation
	leaving      bool
	leavingSince time.Duration
	tasks        map[id.Request]*task
	tombstones   map[id.Request]bool
	queue        []*task
	busy         bool
}

// work is what an engine holds for a request.
type task struct {
	job   *job
	owner id.Process
	stage reap.Stage
	since time.Duration
	// begin is where the answer goes on; events are those written.
	offset int
	events []stream.Event
	done   func(outcome)
}

func (w *simulation) addEngine(e *live.Endpoint) {
	w.engineNames = append(w.engineNames, e.Name)
	w.engines[e.Name] = &engine{
		sim: w, name: e.Name, role: live.Role(e.Labels[live.LabelRole]), slots: e.Slots, incarnation: 1,
		tasks: map[id.Request]*task{}, tombstones: map[id.Request]bool{},
	}
}

// refuses says why the engine takes no work for a request; accepted if it does.
func (e *engine) refusal(r id.Request) outcome {
	switch {
	case e.tombstones[r]:
		return refusedCancelled
	case e.leaving:
		return refusedLeaving
	case e.role == live.RoleDecode && e.running() >= e.slots:
		return refusedFull
	}
	return accepted
}

// running counts the slots in use.
func (e *engine) running() int {
	n := 0
	for _, k := range e.tasks {
		if k.stage != reap.StageFinished && k.stage != reap.StageKV {
			n++
		}
	}
	return n
}

// prefill takes an order; done hears of its end.
func (e *engine) prefill(j *job, done func(outcome)) {
	if why := e.refusal(j.id); why != accepted {
		done(why)
		return
	}
	e.checkNotEnded(j)
	k := &task{job: j, owner: j.host.self, stage: reap.StagePrefill, since: e.sim.now, done: done}
	e.tasks[j.id] = k
	e.queue = append(e.queue, k)
	e.startNext()
}

// checkNotEnded: an order that is taken must not be one whose end was certain.
func (e *engine) checkNotEnded(j *job) {
	if e.sim.ended[reap.Key{Endpoint: e.name, Request: j.id}] {
		e.sim.fail("%s takes %s, which a canceller believes ended", e.name, j.id)
	}
}

// next begins the first queued prefill that still is wanted.
func (e *engine) startNext() {
	for !e.busy && len(e.queue) > 0 {
		k := e.queue[0]
		e.queue = e.queue[1:]
		if e.tasks[k.job.id] != k {
			continue
		}
		e.busy = true
		e.sim.started[k.job.id] = true
		incarnation := e.incarnation
		e.sim.after(e.sim.between(10*ms, 40*ms), func() {
			if e.incarnation != incarnation {
				return
			}
			e.busy = false
			e.finishPrefill(k)
			e.startNext()
		})
	}
}

func (e *engine) finishPrefill(k *task) {
	if e.tasks[k.job.id] != k {
		return
	}
	k.stage = reap.StageKV
	k.since = e.sim.now
	k.done(accepted)
	e.sim.after(kvLife, func() {
		if e.tasks[k.job.id] == k {
			delete(e.tasks, k.job.id)
		}
	})
}

// decode takes an order, imports the KV cache and writes the answer.
func (e *engine) decode(j *job, from *engine, done func(outcome)) {
	if why := e.refusal(j.id); why != accepted {
		done(why)
		return
	}
	source := from.tasks[j.id]
	if source == nil || source.stage != reap.StageKV {
		done(refusedKVGone)
		return
	}
	e.checkNotEnded(j)
	delete(from.tasks, j.id)
	k := &task{job: j, owner: j.host.self, stage: reap.StageDecode, since: e.sim.now, offset: j.caller.delivered, done: done}
	e.tasks[j.id] = k
	e.sim.after(e.sim.between(5*ms, 30*ms), func() { e.write(k) })
}

// write writes the next token, unless the work was dropped.
func (e *engine) write(k *task) {
	if e.tasks[k.job.id] != k {
		return
	}
	seq := k.offset + len(k.events) + 1
	ev := k.job.caller.event(k.job.id, seq)
	k.events = append(k.events, ev)
	e.send(k, ev)
	if !ev.Terminal() {
		e.sim.after(e.sim.between(5*ms, 20*ms), func() { e.write(k) })
		return
	}
	k.stage = reap.StageFinished
	k.since = e.sim.now
	e.sim.after(finishedRetention, func() {
		if e.tasks[k.job.id] == k {
			delete(e.tasks, k.job.id)
		}
	})
}

// send sends an event to who is connected: reordered, at times lost or doubled.
func (e *engine) send(k *task, ev stream.Event) {
	if e.sim.chance(0.001) {
		return
	}
	j := k.job
	e.sim.after(e.sim.between(ms, 30*ms), func() { j.receive(ev) })
	if e.sim.chance(0.01) {
		e.sim.after(e.sim.between(ms, 60*ms), func() { j.receive(ev) })
	}
}

// resume connects a request's answer to another job and sends it from there on.
func (e *engine) resume(j *job, after int) bool {
	k := e.tasks[j.id]
	if k == nil || (k.stage != reap.StageDecode && k.stage != reap.StageFinished) || after < k.offset {
		return false
	}
	k.owner = j.host.self
	k.job = j
	for _, ev := range k.events[min(len(k.events), after-k.offset):] {
		e.send(k, ev)
	}
	return true
}

// cancel ends a request and leaves a tombstone, which may be dropped.
func (e *engine) cancel(r id.Request, owner *id.Process) reap.CancelState {
	k := e.tasks[r]
	if k == nil {
		if !e.sim.chance(0.3) {
			e.tombstones[r] = true
			e.sim.after(time.Minute, func() { delete(e.tombstones, r) })
		}
		return reap.Unknown
	}
	if owner != nil && k.owner != *owner {
		return reap.OtherOwner
	}
	delete(e.tasks, r)
	if k.stage == reap.StageFinished {
		return reap.Finished
	}
	return reap.Cancelled
}

// crash loses all that the engine holds.
func (e *engine) crash() {
	e.sim.stats.crashes++
	lost := e.sorted()
	e.incarnation++
	e.busy = false
	e.queue = nil
	e.tasks = map[id.Request]*task{}
	e.tombstones = map[id.Request]bool{}
	for _, k := range lost {
		if k.stage != reap.StageKV {
			e.sim.after(e.sim.between(ms, 20*ms), func() { k.done(broken) })
		}
	}
}

// leave makes the engine say that it leaves, and takes it back later.
func (e *engine) leave() {
	if e.leaving {
		return
	}
	e.leaving = true
	e.leavingSince = e.sim.now
	e.sim.after(e.sim.between(3*time.Second, 10*time.Second), func() { e.leaving = false })
}

func (e *engine) sorted() []*task {
	names := make([]id.Request, 0, len(e.tasks))
	for r := range e.tasks {
		names = append(names, r)
	}
	slices.Sort(names)
	out := make([]*task, len(names))
	for i, r := range names {
		out[i] = e.tasks[r]
	}
	return out
}

func (e *engine) load() sched.Load {
	return sched.Load{
		Endpoint: e.name, Incarnation: e.incarnation, Running: e.running(), Slots: e.slots,
		Leaving: e.leaving, Reachable: true, Role: e.role,
	}
}

func (e *engine) list() reap.List {
	l := reap.List{Endpoint: e.name, Incarnation: e.incarnation}
	for _, k := range e.sorted() {
		l.Requests = append(l.Requests, reap.Running{Request: k.job.id, Owner: k.owner, Stage: k.stage, Age: e.sim.now - k.since})
	}
	return l
}
