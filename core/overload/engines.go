package overload

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// run is a granted request.
type run struct {
	caller *caller
	grant  *sched.Grant
	engine *decodeEngine
	// transfer is the time of its KV cache transfer.
	transfer time.Duration
	// started is set with the first event; generated is the number of tokens so
	// far.
	started   bool
	generated float64
}

// prefillQueue runs prefills one after another, for either kind of engine. A
// prefill whose caller has gone is dropped, also while it runs.
type prefillQueue struct {
	w *simulation
	// speed is the rate of this queue as a share of the prefill rate.
	speed float64
	queue []*prefillJob
	// onStart, if set, is called with the duration of a prefill when the
	// prefill starts; onEnd is called with each completed prefill.
	onStart func(duration time.Duration)
	onEnd   func(job *prefillJob)
}

// prefillJob is a prefill that waits or runs.
type prefillJob struct {
	run  *run
	sent time.Duration
	// started is set once the engine has started the prefill.
	started bool
}

// add queues a prefill; startNext starts it.
func (q *prefillQueue) add(r *run) { q.queue = append(q.queue, &prefillJob{run: r, sent: q.w.now}) }

// startNext starts the first prefill of the queue unless it runs already.
func (q *prefillQueue) startNext() {
	if len(q.queue) == 0 || q.queue[0].started {
		return
	}
	job := q.queue[0]
	job.started = true
	duration := q.w.prefillTime(job.run.caller.prompt, q.speed)
	if q.onStart != nil {
		q.onStart(duration)
	}
	q.w.schedule(q.w.now+duration, func() { q.end(job) })
}

// end completes a prefill, unless it was dropped.
func (q *prefillQueue) end(job *prefillJob) {
	if len(q.queue) == 0 || q.queue[0] != job {
		return
	}
	q.queue = q.queue[1:]
	q.onEnd(job)
	q.startNext()
}

// drop removes a prefill; running reports whether it was at the head of the
// queue.
func (q *prefillQueue) drop(r *run) (running bool) {
	running = len(q.queue) > 0 && q.queue[0].run == r
	q.queue = slices.DeleteFunc(q.queue, func(job *prefillJob) bool { return job.run == r })
	return running
}

// prefillEngine is a simulated prefill engine.
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

// end starts the KV cache transfer of a completed prefill.
func (p *prefillEngine) end(job *prefillJob) {
	w, r := p.w, job.run
	w.report(r, sched.Progress{Phase: sched.PhaseTransferring, PrefillTime: w.now - job.sent})
	r.transfer = time.Duration(w.slowdown * float64(w.Engines.Transfer))
	w.schedule(w.now+r.transfer, func() { r.engine.start(r) })
}

// drop removes a prefill, whether it waits or runs.
func (p *prefillEngine) drop(r *run) {
	p.queue.drop(r)
	p.queue.startNext()
}

// decodeEngine is a simulated decode engine. It decodes all requests at one
// rate, which falls with their number.
type decodeEngine struct {
	w    *simulation
	runs []*run
	// countedUntil is the time up to which the runs' tokens are counted.
	countedUntil time.Duration
	// localPrefills are the prefills on this engine; localPrefillUntil is the
	// end of the running one.
	localPrefills     prefillQueue
	localPrefillUntil time.Duration
	// planVersion counts the scheduled checks: an event of an earlier version
	// is stale.
	planVersion int
	// lossy is set if the engine loses answers in the time of Engines.Lossy.
	lossy bool
}

func newDecodeEngine(w *simulation) *decodeEngine {
	e := &decodeEngine{w: w}
	e.localPrefills = prefillQueue{w: w, speed: localPrefillSpeed, onStart: e.localPrefillStarted, onEnd: func(job *prefillJob) { e.start(job.run) }}
	return e
}

// localPrefillSpeed is the rate of a local prefill as a share of the prefill
// rate.
const localPrefillSpeed = 0.5

// decodeRate returns the tokens a second of each run.
func (e *decodeEngine) decodeRate() float64 {
	step := e.w.Engines.Step + time.Duration(len(e.runs))*e.w.Engines.StepEach
	return float64(time.Second) / (e.w.slowdown * float64(step))
}

// prefillLocally queues a prefill on the decode engine; it pauses the engine's
// other runs.
func (e *decodeEngine) prefillLocally(r *run) {
	e.localPrefills.add(r)
	e.localPrefills.startNext()
}

// localPrefillStarted pauses the other runs for the given time.
func (e *decodeEngine) localPrefillStarted(duration time.Duration) {
	e.countTokens()
	e.localPrefillUntil = e.w.now + duration
	for _, other := range e.runs {
		e.stall(other, duration)
	}
	e.scheduleNext()
}

// stall pauses a run; the answer is late if the pause is longer than its caller
// accepts.
func (e *decodeEngine) stall(r *run, d time.Duration) {
	pause := e.w.Callers.Pause
	if pause > 0 && d > pause && r.caller.outcome == inTime {
		r.caller.outcome = late
	}
}

// start starts the decode of a prefilled run. If the engine's batch or memory is
// full, the prefill is wasted and the request is refused.
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
	if e.losesAnswer() {
		r.caller.outcome = lost
		w.lostAt = append(w.lostAt, w.now-warmup)
		w.progress(r, sched.PhaseFailed)
		return
	}
	e.runs = append(e.runs, r)
	w.firstEvent(r.caller)
	w.report(r, sched.Progress{Phase: sched.PhaseDecoding, TransferTime: r.transfer})
	e.scheduleNext()
}

// losesAnswer reports whether the engine loses the answer that it begins now.
func (e *decodeEngine) losesAnswer() bool {
	w := e.w
	lossy := w.Engines.Lossy
	since := w.now - warmup - lossy.At
	if since < 0 || since >= lossy.For || !e.lossy {
		return false
	}
	return w.rng.Float64() < lossy.Share
}

func (e *decodeEngine) held() float64 {
	sum := 0.0
	for _, r := range e.runs {
		sum += float64(r.caller.prompt) + r.generated
	}
	return sum
}

// countTokens counts the tokens up to now.
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

// scheduleNext schedules the next completion, or the next check of the memory
// if that is earlier.
func (e *decodeEngine) scheduleNext() {
	e.planVersion++
	if len(e.runs) == 0 {
		return
	}
	least := float64(e.runs[0].caller.output) - e.runs[0].generated
	for _, r := range e.runs {
		least = min(least, float64(r.caller.output)-r.generated)
	}
	// The memory is checked about four times a second.
	tokens := max(1, min(least, e.decodeRate()/4))
	from := max(e.w.now, e.localPrefillUntil)
	round := e.planVersion
	e.w.schedule(from+time.Duration(tokens/e.decodeRate()*float64(time.Second)), func() {
		if e.planVersion == round {
			e.completeAndPreempt()
		}
	})
}

// completeAndPreempt completes finished runs and preempts runs while memory is
// short.
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

// preempt removes the newest run and prefills it again, which pauses it for
// longer than its caller accepts.
func (e *decodeEngine) preempt() {
	w := e.w
	w.preempted++
	last := e.runs[len(e.runs)-1]
	e.runs = e.runs[:len(e.runs)-1]
	tokens := last.caller.prompt + int(last.generated)
	w.wastedTokens += tokens
	e.stall(last, w.Callers.Pause+1)
	duration := w.prefillTime(tokens, localPrefillSpeed)
	w.schedule(w.now+duration, func() {
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
