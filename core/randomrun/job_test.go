package randomrun

import (
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/stream"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	maxAttempts = 4
	// orderTimeout is the time after which the result of an order without a reply
	// counts as unknown.
	orderTimeout = time.Second
	// idleTimeout is the time after which a stream without progress counts as broken.
	idleTimeout = 3 * time.Second
)

// caller sends one request and expects a complete answer with each token once.
type caller struct {
	sim       *simulation
	n         int
	pool      id.Pool
	tokens    int
	delivered int
	finished  bool
	// ended is set once the caller has its answer or an error, or has disconnected.
	ended    bool
	attempts int
	avoid    []id.Endpoint
	job      *job
}

// job is one attempt of a caller's request at one daemon.
type job struct {
	host      *host
	caller    *caller
	id        id.Request
	want      sched.Want
	grant     *sched.Grant
	sequencer *stream.Sequencer
	// decodeEndpoint is the endpoint that decodes; transfer starts the decode and is
	// set from the end of the prefill, possibly waiting for a binding, until it runs.
	decodeEndpoint id.Endpoint
	bound          bool
	transfer       func()
	// prefillOrdered and decoding are set once the respective order was sent.
	prefillOrdered bool
	decoding       bool
	ended          bool
	streamStarted  bool
	lastProgress   time.Duration
}

// event returns the expected event with number seq; the last one is terminal.
func (c *caller) event(attempt id.Request, seq int) stream.Event {
	if seq > c.tokens {
		return stream.Event{Attempt: attempt, Seq: seq, Finish: "stop"}
	}
	return stream.Event{Attempt: attempt, Seq: seq, Text: fmt.Sprintf("%d.%d ", c.n, seq)}
}

// deliver checks that the caller receives its answer completely, once and in order.
func (c *caller) deliver(j *job, e stream.Event) {
	want := c.event(j.id, c.delivered+1)
	if c.ended || c.finished || c.job != j || e != want {
		c.sim.fail("caller %d got %+v, want %+v (ended %v)", c.n, e, want, c.ended)
	}
	c.delivered++
	c.finished = e.Terminal()
}

// startAttempt starts an attempt at a daemon.
func (c *caller) startAttempt(h *host) {
	if c.ended || h == nil || h.dead {
		c.fail()
		return
	}
	c.attempts++
	j := &job{host: h, caller: c, id: id.Request(fmt.Sprintf("r%06d.%d", c.n, c.attempts)), lastProgress: c.sim.now}
	team := id.Team(fmt.Sprint("t", c.n%3))
	j.want = sched.Want{
		Request: j.id, Team: team, Service: id.Service(c.pool), Pool: c.pool, From: h.self,
		PromptTokens: 200 + c.n%600, OutputTokens: c.tokens, Priority: 5, Avoid: c.avoid, Attempt: c.attempts,
		Fingerprint: poison.NewFingerprint(team, id.Service(c.pool), []byte(fmt.Sprint(c.n))).String(),
	}
	j.sequencer = stream.New(j.id, c.delivered, 0)
	c.job = j
	h.jobs[j.id] = j
	h.active[j.id] = true
	c.sim.asks[j.id] = &requestRecord{host: h}
	h.handleOutput(h.requester.Request(c.sim.now, j.want, 800*ms))
}

func (c *caller) fail() {
	if !c.ended {
		c.ended = true
		c.sim.stats.failed++
	}
}

// retry schedules another attempt after a failed one.
func (c *caller) retry(h *host) {
	if c.ended || c.attempts >= maxAttempts {
		c.fail()
		return
	}
	c.sim.after(c.sim.between(10*ms, 60*ms), func() { c.startAttempt(h) })
}

// disconnect ends the request of a caller that closes its connection.
func (c *caller) disconnect() {
	if c.ended {
		return
	}
	c.ended = true
	c.sim.stats.disconnected++
	if c.job != nil && !c.job.ended && !c.job.host.dead {
		c.job.cancel()
	}
}

// handleAnswer handles an answer of the requester and checks that each call
// of Requester.Request has exactly one.
func (h *host) handleAnswer(a pairing.Answer) {
	record := h.sim.asks[a.Request]
	record.answers++
	j := h.jobs[a.Request]
	if record.host != h || record.answers > 1 || record.withdrawn || j == nil {
		h.sim.fail("request %s: answer %d after withdrawal=%v", a.Request, record.answers, record.withdrawn)
	}
	if a.Err == nil {
		j.grant = a.Grant
		j.decodeEndpoint = a.Grant.Decode
		h.sim.after(a.Grant.StartIn, j.prefill)
		return
	}
	if a.Err.Verdict != verdict.NotRun || h.sim.started[a.Request] {
		h.sim.fail("request %s was refused with verdict %v, started=%v", a.Request, a.Err.Verdict, h.sim.started[a.Request])
	}
	h.sim.stats.refused++
	delete(h.active, j.id)
	j.end()
	j.caller.retry(h)
}

func (j *job) end() {
	j.ended = true
	delete(j.host.jobs, j.id)
}

// reportProgress sends a progress report to the pool's owner. After a final phase
// the attempt is no longer active at this process.
func (j *job) reportProgress(p sched.Progress) {
	if j.host.dead {
		return
	}
	p.Request = j.id
	j.host.handleOutput(j.host.requester.Progress(j.host.sim.now, p))
	if p.Phase >= sched.PhaseDone {
		delete(j.host.active, j.id)
	}
}

// sendOrder sends an order to an engine and calls got once, with the reply or, if
// it is lost, after the timeout.
func (j *job) sendOrder(e *engine, send func(done func(outcome)), got func(o outcome, known bool)) {
	heard := false
	hear := func(o outcome, known bool) {
		if !heard && !j.ended && !j.host.dead {
			heard = true
			got(o, known)
		}
	}
	j.host.sim.after(j.host.sim.latency(), func() {
		send(func(o outcome) {
			if !j.host.sim.chance(0.005) {
				j.host.sim.after(j.host.sim.latency(), func() { hear(o, true) })
			}
		})
	})
	j.host.sim.after(orderTimeout, func() { hear(broken, false) })
}

func (j *job) prefill() {
	if j.ended || j.host.dead {
		return
	}
	j.prefillOrdered = true
	j.reportProgress(sched.Progress{Phase: sched.PhasePrefilling})
	e := j.host.sim.engines[j.grant.Prefill]
	j.sendOrder(e, func(done func(outcome)) { e.prefill(j, done) }, func(o outcome, known bool) {
		if o == accepted {
			j.awaitBinding(e)
			return
		}
		if o == broken {
			j.host.cancel(e.name, j.id, 0, known, nil)
		}
		j.handleFailure(e.name, o, known)
	})
}

// awaitBinding starts the transfer, for a provisional grant once it is bound or
// BindWithin has passed.
func (j *job) awaitBinding(from *engine) {
	j.transfer = func() {
		j.transfer = nil
		if !j.ended && !j.host.dead {
			j.decode(from)
		}
	}
	j.reportProgress(sched.Progress{Phase: sched.PhaseTransferring, PromptTokens: j.want.PromptTokens, PrefillTime: 30 * ms})
	if !j.grant.Provisional || j.bound {
		j.startTransfer()
		return
	}
	j.host.sim.after(j.grant.BindWithin, j.startTransfer)
}

// bind sets the endpoint whose slot was assigned to a provisional grant.
func (j *job) bind(e id.Endpoint) {
	if !j.decoding {
		j.decodeEndpoint = e
		j.bound = true
		j.startTransfer()
	}
}

// startTransfer starts the transfer if it is pending.
func (j *job) startTransfer() {
	if j.transfer != nil {
		j.transfer()
	}
}

func (j *job) decode(from *engine) {
	j.decoding = true
	j.lastProgress = j.host.sim.now
	e := j.host.sim.engines[j.decodeEndpoint]
	refuse := func(o outcome, known bool) {
		switch {
		case j.ended || j.host.dead:
		case o == broken:
			j.abortDecode(known)
		default:
			j.host.cancel(from.name, j.id, 0, true, nil)
			j.handleFailure(e.name, o, known)
		}
	}
	j.host.sim.after(j.host.sim.latency(), func() {
		e.decode(j, from, func(o outcome) { j.host.sim.after(j.host.sim.latency(), func() { refuse(o, true) }) })
	})
	j.watchIdle()
}

// watchIdle aborts a stream that makes no progress.
func (j *job) watchIdle() {
	j.host.sim.after(idleTimeout, func() {
		switch {
		case j.ended || j.host.dead:
		case j.host.sim.now-j.lastProgress >= idleTimeout:
			j.abortDecode(false)
		default:
			j.watchIdle()
		}
	})
}

// abortDecode ends a decode whose state is unknown: its slot counts as held until
// the cancel is complete.
func (j *job) abortDecode(crashed bool) {
	p := sched.Progress{Phase: sched.PhaseFailed, Endpoint: j.decodeEndpoint, Crashed: crashed}
	j.host.cancel(j.decodeEndpoint, j.id, 0, false, func() { j.reportProgress(p) })
	j.end()
	j.caller.avoid = append(j.caller.avoid, j.decodeEndpoint)
	j.caller.retry(j.host)
}

func (j *job) handleFailure(e id.Endpoint, o outcome, known bool) {
	j.reportProgress(sched.Progress{
		Phase: sched.PhaseFailed, Endpoint: e, Full: o == refusedFull, Leaving: o == refusedLeaving, Crashed: o == broken && known,
	})
	j.end()
	j.caller.avoid = append(j.caller.avoid, e)
	j.caller.retry(j.host)
}

// receive handles an event of the stream.
func (j *job) receive(e stream.Event) {
	if j.ended || j.host.dead {
		return
	}
	ready, err := j.sequencer.Push(e)
	if err != nil {
		j.abortDecode(false)
		return
	}
	for _, e := range ready {
		if !j.streamStarted {
			j.streamStarted = true
			j.reportProgress(sched.Progress{Phase: sched.PhaseDecoding, Endpoint: j.decodeEndpoint, TransferTime: 20 * ms})
		}
		j.lastProgress = j.host.sim.now
		j.caller.deliver(j, e)
	}
	if j.sequencer.Ended() {
		j.caller.ended = true
		j.host.sim.stats.answered++
		j.reportProgress(sched.Progress{Phase: sched.PhaseDone, OutputTokens: j.caller.delivered})
		j.end()
	}
}

// cancel ends an attempt whose caller has disconnected.
func (j *job) cancel() {
	switch {
	case j.grant == nil:
		j.host.sim.asks[j.id].withdrawn = true
		delete(j.host.active, j.id)
		j.host.handleOutput(j.host.requester.Withdraw(j.id))
	case !j.decoding:
		if j.prefillOrdered {
			j.host.cancel(j.grant.Prefill, j.id, 0, false, nil)
		}
		j.reportProgress(sched.Progress{Phase: sched.PhaseCancelled})
	default:
		j.host.cancel(j.decodeEndpoint, j.id, 0, false, func() { j.reportProgress(sched.Progress{Phase: sched.PhaseCancelled}) })
	}
	j.end()
}

// handleHostExit is called when the job's daemon process exits: some callers
// disconnect, the others reconnect to another daemon.
func (j *job) handleHostExit() {
	j.ended = true
	c := j.caller
	if c.ended {
		return
	}
	if c.sim.rng.IntN(3) == 0 {
		c.disconnect()
		return
	}
	c.sim.after(c.sim.between(100*ms, 1500*ms), func() { c.reconnect(j) })
}

// reconnect continues the answer at another daemon: it resumes the engine's stream
// if possible, else it starts a new attempt.
func (c *caller) reconnect(old *job) {
	alive := c.sim.alive()
	if c.ended || len(alive) == 0 {
		c.fail()
		return
	}
	h := alive[c.sim.rng.IntN(len(alive))]
	if c.delivered == 0 || !old.decoding {
		c.startAttempt(h)
		return
	}
	j := &job{host: h, caller: c, id: old.id, want: old.want, decoding: true, streamStarted: true, lastProgress: c.sim.now}
	j.want.From = h.self
	j.grant = &sched.Grant{Request: j.id, Decode: old.decodeEndpoint, Owner: h.self}
	j.decodeEndpoint = old.decodeEndpoint
	j.sequencer = stream.New(j.id, c.delivered, 0)
	if !c.sim.engines[j.decodeEndpoint].resume(j, c.delivered) {
		c.startAttempt(h)
		return
	}
	c.sim.stats.resumed++
	c.job = j
	h.jobs[j.id] = j
	h.active[j.id] = true
	h.handleOutput(h.requester.Resume(c.sim.now, j.want, *j.grant))
	j.watchIdle()
}
