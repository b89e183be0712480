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
	// kvLife is the time after which an exported KV cache expires.
	kvLife = 800 * ms
	// finishedRetention is the time for which a finished answer can be resumed.
	finishedRetention = 15 * time.Second
)

// outcome is an engine's reply to an order.
type outcome int

const (
	accepted outcome = iota
	refusedFull
	refusedLeaving
	refusedCancelled
	refusedKVGone
	broken
)

// engine is a simulated engine that keeps its requests in maps.
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

// task is the state of one request at an engine.
type task struct {
	job   *job
	owner id.Process
	stage reap.Stage
	since time.Duration
	// offset is the number of tokens that were delivered before this task; events
	// are those that it has written.
	offset int
	events []stream.Event
	done   func(outcome)
}

func (s *simulation) addEngine(e *live.Endpoint) {
	s.engineNames = append(s.engineNames, e.Name)
	s.engines[e.Name] = &engine{
		sim: s, name: e.Name, role: live.Role(e.Labels[live.LabelRole]), slots: e.Slots, incarnation: 1,
		tasks: map[id.Request]*task{}, tombstones: map[id.Request]bool{},
	}
}

// refusal returns the reason for which the engine refuses a request, or accepted.
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

// running returns the number of slots in use.
func (e *engine) running() int {
	n := 0
	for _, t := range e.tasks {
		if t.stage != reap.StageFinished && t.stage != reap.StageKV {
			n++
		}
	}
	return n
}

// prefill handles a prefill order and calls done with its outcome.
func (e *engine) prefill(j *job, done func(outcome)) {
	if why := e.refusal(j.id); why != accepted {
		done(why)
		return
	}
	e.checkNotEnded(j)
	t := &task{job: j, owner: j.host.self, stage: reap.StagePrefill, since: e.sim.now, done: done}
	e.tasks[j.id] = t
	e.queue = append(e.queue, t)
	e.startNext()
}

// checkNotEnded fails the run if the engine accepts an order for a request that a
// canceller has reported as ended.
func (e *engine) checkNotEnded(j *job) {
	if e.sim.ended[reap.Key{Endpoint: e.name, Request: j.id}] {
		e.sim.fail("%s accepts %s, which a canceller has reported as ended", e.name, j.id)
	}
}

// startNext starts the first queued prefill that has not been cancelled.
func (e *engine) startNext() {
	for !e.busy && len(e.queue) > 0 {
		t := e.queue[0]
		e.queue = e.queue[1:]
		if e.tasks[t.job.id] != t {
			continue
		}
		e.busy = true
		e.sim.started[t.job.id] = true
		incarnation := e.incarnation
		e.sim.after(e.sim.between(10*ms, 40*ms), func() {
			if e.incarnation != incarnation {
				return
			}
			e.busy = false
			e.finishPrefill(t)
			e.startNext()
		})
	}
}

func (e *engine) finishPrefill(t *task) {
	if e.tasks[t.job.id] != t {
		return
	}
	t.stage = reap.StageKV
	t.since = e.sim.now
	t.done(accepted)
	e.sim.after(kvLife, func() {
		if e.tasks[t.job.id] == t {
			delete(e.tasks, t.job.id)
		}
	})
}

// decode handles a decode order: it imports the KV cache and writes the answer.
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
	t := &task{job: j, owner: j.host.self, stage: reap.StageDecode, since: e.sim.now, offset: j.caller.delivered, done: done}
	e.tasks[j.id] = t
	e.sim.after(e.sim.between(5*ms, 30*ms), func() { e.write(t) })
}

// write writes the next token, unless the task was removed.
func (e *engine) write(t *task) {
	if e.tasks[t.job.id] != t {
		return
	}
	seq := t.offset + len(t.events) + 1
	ev := t.job.caller.event(t.job.id, seq)
	t.events = append(t.events, ev)
	e.send(t, ev)
	if !ev.Terminal() {
		e.sim.after(e.sim.between(5*ms, 20*ms), func() { e.write(t) })
		return
	}
	t.stage = reap.StageFinished
	t.since = e.sim.now
	e.sim.after(finishedRetention, func() {
		if e.tasks[t.job.id] == t {
			delete(e.tasks, t.job.id)
		}
	})
}

// send sends an event to the connected job. Events may be reordered, lost or
// duplicated.
func (e *engine) send(t *task, ev stream.Event) {
	if e.sim.chance(0.001) {
		return
	}
	j := t.job
	e.sim.after(e.sim.between(ms, 30*ms), func() { j.receive(ev) })
	if e.sim.chance(0.01) {
		e.sim.after(e.sim.between(ms, 60*ms), func() { j.receive(ev) })
	}
}

// resume attaches a request's answer to another job and sends the events after
// the given one. It reports whether the engine still holds the answer.
func (e *engine) resume(j *job, after int) bool {
	t := e.tasks[j.id]
	if t == nil || (t.stage != reap.StageDecode && t.stage != reap.StageFinished) || after < t.offset {
		return false
	}
	t.owner = j.host.self
	t.job = j
	for _, ev := range t.events[min(len(t.events), after-t.offset):] {
		e.send(t, ev)
	}
	return true
}

// cancel ends a request. For an unknown request it records a tombstone, which may
// be lost.
func (e *engine) cancel(r id.Request, owner *id.Process) reap.CancelState {
	t := e.tasks[r]
	if t == nil {
		if !e.sim.chance(0.3) {
			e.tombstones[r] = true
			e.sim.after(time.Minute, func() { delete(e.tombstones, r) })
		}
		return reap.Unknown
	}
	if owner != nil && t.owner != *owner {
		return reap.OtherOwner
	}
	delete(e.tasks, r)
	if t.stage == reap.StageFinished {
		return reap.Finished
	}
	return reap.Cancelled
}

// crash discards all state of the engine and starts its next incarnation.
func (e *engine) crash() {
	e.sim.stats.crashes++
	lost := e.sorted()
	e.incarnation++
	e.busy = false
	e.queue = nil
	e.tasks = map[id.Request]*task{}
	e.tombstones = map[id.Request]bool{}
	for _, t := range lost {
		if t.stage != reap.StageKV {
			e.sim.after(e.sim.between(ms, 20*ms), func() { t.done(broken) })
		}
	}
}

// leave makes the engine report for some seconds that it is leaving.
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
	for _, t := range e.sorted() {
		l.Requests = append(l.Requests, reap.Running{Request: t.job.id, Owner: t.owner, Stage: t.stage, Age: e.sim.now - t.since})
	}
	return l
}
