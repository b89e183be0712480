package overload

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// run is a request at the engines.
type run struct {
	caller *caller
	grant  *sched.Grant
	engine *decodeEngine
	// transfer is the time of its KV cache's way.
	transfer time.Duration
	// begun is set with the first event; written are the tokens so far.
	started   bool
	generated float64
}

// reader reads prompts one after another, for an engine of either kind. One whose
// caller has gone is dropped, while it is read too.
type prefillQueue struct {
	w *simulation
	// speed is the share of the prefill rate at which it reads.
	speed float64
	queue []*prefillJob
	// begins, if set, is told how long a prompt takes when its reading begins; ends
	// takes one that was read.
	onStart func(takes time.Duration)
	onEnd   func(job *prefillJob)
}

// read is a prompt that waits or is being read.
type prefillJob struct {
	run  *run
	sent time.Duration
	// begun is set once the engine has begun.
	started bool
}

// add has a prompt wait; next begins with it.
func (q *prefillQueue) add(r *run) { q.queue = append(q.queue, &prefillJob{run: r, sent: q.w.now}) }

// next begins with the first prompt of the queue, unless it is being read.
func (q *prefillQueue) startNext() {
	if len(q.queue) == 0 || q.queue[0].started {
		return
	}
	job := q.queue[0]
	job.started = true
	takes := q.w.prefillTime(job.run.caller.prompt, q.speed)
	if q.onStart != nil {
		q.onStart(takes)
	}
	q.w.schedule(q.w.now+takes, func() { q.end(job) })
}

// end hands on a prompt that was read, if it was not dropped.
func (q *prefillQueue) end(job *prefillJob) {
	if len(q.queue) == 0 || q.queue[0] != job {
		return
	}
	q.queue = q.queue[1:]
	q.onEnd(job)
	q.startNext()
}

// drop takes a prompt out; reading says that the engine was at it.
func (q *prefillQueue) drop(r *run) (reading bool) {
	reading = len(q.queue) > 0 && q.queue[0].run == r
	q.queue = slices.DeleteFunc(q.queue, func(job *prefillJob) bool { return job.run == r })
	return reading
}

// prefillEngine reads prompts.
type prefillEngine struct {
	w     *simulation
	queue prefillQueue
}

func newPrefillEngine(w *simulation) *prefillEngine {
	p := &prefillEngine{w: w}
	p.queue = prefillQueue{w: w, speed: 1, onEnd: p.end}
	return p
}

func (p *prefillEngine) prefill(r *run) {
	p.w.progress(r, sched.PhasePrefilling)
	p.queue.add(r)
	p.w.schedule(p.w.now+messageDelay, p.queue.startNext)
}

// end hands on a prompt that was read.
func (p *prefillEngine) end(job *prefillJob) {
	w, r := p.w, job.run
	w.report(r, sched.Progress{Phase: sched.PhaseTransferring, PrefillTime: w.now - job.sent})
	r.transfer = time.Duration(w.slowdown * float64(w.Engines.Transfer))
	w.schedule(w.now+r.transfer, func() { r.engine.start(r) })
}

// drop ends the reading of a prompt, or its wait.
func (p *prefillEngine) drop(r *run) {
	p.queue.drop(r)
	p.queue.startNext()
}

// decodeEngine writes answers, all at one pace that falls with their number.
type decodeEngine struct {
	w    *simulation
	runs []*run
	// settled is up to when the runs' tokens are counted.
	countedUntil time.Duration
	// reads are the prompts that the engine reads itself; readUntil is when the
	// first of them is read.
	localPrefills     prefillQueue
	localPrefillUntil time.Duration
	// round numbers the changes: an event of an earlier one is stale.
	planVersion int
}

func newDecodeEngine(w *simulation) *decodeEngine {
	e := &decodeEngine{w: w}
	e.localPrefills = prefillQueue{w: w, speed: localPrefillSpeed, onStart: e.localPrefillStarted, onEnd: func(job *prefillJob) { e.start(job.run) }}
	return e
}

// wholeSpeed is the share of the prefill rate at which a decode engine reads.
const localPrefillSpeed = 0.5

// pace is the tokens a second of each run.
func (e *decodeEngine) decodeRate() float64 {
	step := e.w.Engines.Step + time.Duration(len(e.runs))*e.w.Engines.StepEach
	return float64(time.Second) / (e.w.slowdown * float64(step))
}

// read has the engine read a prompt itself: its other runs stand still.
func (e *decodeEngine) prefillLocally(r *run) {
	e.localPrefills.add(r)
	e.localPrefills.startNext()
}

// readBegins has the other runs stand still.
func (e *decodeEngine) localPrefillStarted(takes time.Duration) {
	e.countTokens()
	e.localPrefillUntil = e.w.now + takes
	for _, other := range e.runs {
		e.stall(other, takes)
	}
	e.scheduleNext()
}

// stall has a run stand still; it is late if that is longer than its caller
// accepts.
func (e *decodeEngine) stall(r *run, d time.Duration) {
	pause := e.w.Callers.Pause
	if pause > 0 && d > pause && r.caller.outcome == inTime {
		r.caller.outcome = late
	}
}

// begin starts a run whose prompt was read, if the engine has room.
func (e *decodeEngine) start(r *run) {
	w := e.w
	if r.caller.run != r || r.caller.outcome != unserved {
		return
	}
	e.countTokens()
	if len(e.runs) >= w.Engines.Batch || e.held()+float64(r.caller.prompt) > float64(w.Engines.Memory) {
		w.wastedTokens += r.caller.prompt
		r.caller.run = nil
		w.progress(r, sched.PhaseFailed)
		w.refused(&sched.Refusal{Request: r.grant.Request, RetryAfter: time.Second})
		return
	}
	r.started = true
	e.runs = append(e.runs, r)
	w.firstEvent(r.caller)
	w.report(r, sched.Progress{Phase: sched.PhaseDecoding, TransferTime: r.transfer})
	e.scheduleNext()
}

func (e *decodeEngine) held() float64 {
	sum := 0.0
	for _, r := range e.runs {
		sum += float64(r.caller.prompt) + r.generated
	}
	return sum
}

// settle counts the tokens up to now.
func (e *decodeEngine) countTokens() {
	from := max(e.countedUntil, min(e.localPrefillUntil, e.w.now))
	e.countedUntil = e.w.now
	if e.w.now <= from {
		return
	}
	tokens := (e.w.now - from).Seconds() * e.decodeRate()
	for _, r := range e.runs {
		r.generated += tokens
	}
}

// plan predicts the next end, or the moment at which the memory is full.
func (e *decodeEngine) scheduleNext() {
	e.planVersion++
	if len(e.runs) == 0 {
		return
	}
	least := float64(e.runs[0].caller.output) - e.runs[0].generated
	for _, r := range e.runs {
		least = min(least, float64(r.caller.output)-r.generated)
	}
	// Below the end by a little: the memory is looked at four times a second.
	tokens := max(1, min(least, e.decodeRate()/4))
	from := max(e.w.now, e.localPrefillUntil)
	round := e.planVersion
	e.w.schedule(from+time.Duration(tokens/e.decodeRate()*float64(time.Second)), func() {
		if e.planVersion == round {
			e.completeAndPreempt()
		}
	})
}

// look ends the runs that are complete, and preempts while memory is short.
func (e *decodeEngine) completeAndPreempt() {
	e.countTokens()
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		if r.generated < float64(r.caller.output)-0.5 {
			return false
		}
		e.w.progress(r, sched.PhaseDone)
		return true
	})
	for len(e.runs) > 1 && e.held() > float64(e.w.Engines.Memory) {
		e.preempt()
	}
	e.scheduleNext()
}

// preempt reads the newest run in again, which stalls all others.
func (e *decodeEngine) preempt() {
	w := e.w
	w.preempted++
	last := e.runs[len(e.runs)-1]
	e.runs = e.runs[:len(e.runs)-1]
	tokens := last.caller.prompt + int(last.generated)
	w.wastedTokens += tokens
	e.stall(last, w.Callers.Pause+1)
	takes := w.prefillTime(tokens, localPrefillSpeed)
	w.schedule(w.now+takes, func() {
		if last.caller.run == last {
			e.countTokens()
			e.runs = append(e.runs, last)
			e.completeAndPreempt()
		}
	})
}

// drop ends a run whose caller has gone.
func (e *decodeEngine) drop(r *run) {
	e.countTokens()
	e.runs = slices.DeleteFunc(e.runs, func(x *run) bool { return x == r })
	r.caller.run = nil
	if e.localPrefills.drop(r) {
		e.localPrefillUntil = e.w.now
	}
	e.scheduleNext()
	e.localPrefills.startNext()
}
