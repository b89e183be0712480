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
	begun   bool
	written float64
}

// prefillEngine reads prompts one after another. One whose caller has gone is
// dropped, while it is read too.
type prefillEngine struct {
	w     *world
	queue []*read
}

// read is a prompt that waits or is being read, by an engine of either kind.
type read struct {
	run  *run
	sent time.Duration
	// begun is set once the engine has begun.
	begun bool
}

func (p *prefillEngine) read(r *run) {
	p.w.progress(r, sched.PhasePrefilling)
	job := &read{run: r, sent: p.w.now}
	p.queue = append(p.queue, job)
	p.w.at(p.w.now+hop, p.begin)
}

// begin reads the first prompt of the queue, unless it is being read.
func (p *prefillEngine) begin() {
	if len(p.queue) == 0 || p.queue[0].begun {
		return
	}
	job := p.queue[0]
	job.begun = true
	p.w.at(p.w.now+p.w.readingTime(job.run.caller.prompt, 1), func() { p.end(job) })
}

// end hands on a prompt that was read.
func (p *prefillEngine) end(job *read) {
	if len(p.queue) == 0 || p.queue[0] != job {
		return
	}
	w, r := p.w, job.run
	p.queue = p.queue[1:]
	w.report(r, sched.Progress{Phase: sched.PhaseTransferring, PrefillTime: w.now - job.sent})
	r.transfer = time.Duration(w.slow * float64(w.Engines.Transfer))
	w.at(w.now+r.transfer, func() { r.engine.begin(r) })
	p.begin()
}

// drop ends the reading of a prompt, or its wait.
func (p *prefillEngine) drop(r *run) {
	p.queue = slices.DeleteFunc(p.queue, func(job *read) bool { return job.run == r })
	p.begin()
}

// decodeEngine writes answers, all at one pace that falls with their number.
type decodeEngine struct {
	w    *world
	runs []*run
	// settled is up to when the runs' tokens are counted.
	settled time.Duration
	// reads are the prompts that the engine reads itself, one after another;
	// readUntil is when the first of them is read.
	reads     []*read
	readUntil time.Duration
	// round numbers the changes: an event of an earlier one is stale.
	round int
}

// pace is the tokens a second of each run.
func (e *decodeEngine) pace() float64 {
	step := e.w.Engines.Step + time.Duration(len(e.runs))*e.w.Engines.StepEach
	return float64(time.Second) / (e.w.slow * float64(step))
}

// read has the engine read a prompt itself: its other runs stand still.
func (e *decodeEngine) read(r *run) {
	e.reads = append(e.reads, &read{run: r})
	e.readNext()
}

// readNext reads the first prompt, unless it is being read.
func (e *decodeEngine) readNext() {
	if len(e.reads) == 0 || e.reads[0].begun {
		return
	}
	job := e.reads[0]
	job.begun = true
	takes := e.w.readingTime(job.run.caller.prompt, 0.5)
	e.settle()
	e.readUntil = e.w.now + takes
	for _, other := range e.runs {
		e.stall(other, takes)
	}
	e.plan()
	e.w.at(e.readUntil, func() { e.readEnd(job) })
}

// readEnd begins the answer to a prompt that was read.
func (e *decodeEngine) readEnd(job *read) {
	if len(e.reads) == 0 || e.reads[0] != job {
		return
	}
	e.reads = e.reads[1:]
	e.begin(job.run)
	e.readNext()
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
func (e *decodeEngine) begin(r *run) {
	w := e.w
	if r.caller.run != r || r.caller.outcome != unserved {
		return
	}
	e.settle()
	if len(e.runs) >= w.Engines.Batch || e.held()+float64(r.caller.prompt) > float64(w.Engines.Memory) {
		w.vain += r.caller.prompt
		r.caller.run = nil
		w.progress(r, sched.PhaseFailed)
		w.refused(&sched.Refusal{Request: r.grant.Request, RetryAfter: time.Second})
		return
	}
	r.begun = true
	e.runs = append(e.runs, r)
	w.first(r.caller)
	w.report(r, sched.Progress{Phase: sched.PhaseDecoding, TransferTime: r.transfer})
	e.plan()
}

func (e *decodeEngine) held() float64 {
	sum := 0.0
	for _, r := range e.runs {
		sum += float64(r.caller.prompt) + r.written
	}
	return sum
}

// settle counts the tokens up to now.
func (e *decodeEngine) settle() {
	from := max(e.settled, min(e.readUntil, e.w.now))
	e.settled = e.w.now
	if e.w.now <= from {
		return
	}
	tokens := (e.w.now - from).Seconds() * e.pace()
	for _, r := range e.runs {
		r.written += tokens
	}
}

// plan predicts the next end, or the moment at which the memory is full.
func (e *decodeEngine) plan() {
	e.round++
	if len(e.runs) == 0 {
		return
	}
	least := float64(e.runs[0].caller.output) - e.runs[0].written
	for _, r := range e.runs {
		least = min(least, float64(r.caller.output)-r.written)
	}
	// Below the end by a little: the memory is looked at four times a second.
	tokens := max(1, min(least, e.pace()/4))
	from := max(e.w.now, e.readUntil)
	round := e.round
	e.w.at(from+time.Duration(tokens/e.pace()*float64(time.Second)), func() {
		if e.round == round {
			e.look()
		}
	})
}

// look ends the runs that are complete, and preempts while memory is short.
func (e *decodeEngine) look() {
	e.settle()
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		if r.written < float64(r.caller.output)-0.5 {
			return false
		}
		e.w.progress(r, sched.PhaseDone)
		return true
	})
	for len(e.runs) > 1 && e.held() > float64(e.w.Engines.Memory) {
		e.preempt()
	}
	e.plan()
}

// preempt reads the newest run in again, which stalls all others.
func (e *decodeEngine) preempt() {
	w := e.w
	w.preempted++
	last := e.runs[len(e.runs)-1]
	e.runs = e.runs[:len(e.runs)-1]
	tokens := last.caller.prompt + int(last.written)
	w.vain += tokens
	e.stall(last, w.Callers.Pause+1)
	takes := w.readingTime(tokens, 0.5)
	w.at(w.now+takes, func() {
		if last.caller.run == last {
			e.settle()
			e.runs = append(e.runs, last)
			e.look()
		}
	})
}

// drop ends a run whose caller has gone.
func (e *decodeEngine) drop(r *run) {
	e.settle()
	e.runs = slices.DeleteFunc(e.runs, func(x *run) bool { return x == r })
	r.caller.run = nil
	if len(e.reads) > 0 && e.reads[0].run == r {
		e.readUntil = e.w.now
	}
	e.reads = slices.DeleteFunc(e.reads, func(job *read) bool { return job.run == r })
	e.plan()
	e.readNext()
}
