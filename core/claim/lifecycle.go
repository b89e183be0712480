package claim

import (
	"net/url"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// enqueue adds an op to the queue of its row, with a timeout for the whole op.
func (c *Claims) enqueue(o *op, timeout time.Duration) {
	c.count++
	o.phase = phaseQueued
	c.ops[o.row] = append(c.ops[o.row], o)
	c.setDeadline(o, timeout)
	if len(c.ops[o.row]) == 1 {
		c.start(o)
	}
}

func (c *Claims) setDeadline(o *op, timeout time.Duration) {
	o.deadline = c.now + timeout
	c.startTimer(timeout, timer{kind: timerDeadline, op: o})
}

// start begins the work of the first op in a row's queue.
func (c *Claims) start(o *op) {
	_, known := c.recent.Get(o.row)
	switch {
	case o.kind == opFinish && c.tooLarge(o):
		c.storeObject(o)
	case o.kind == opBegin && !known, o.expectedVersion != 0:
		c.queueWrite(o)
	default:
		c.queueRead(o)
	}
}

func (c *Claims) tooLarge(o *op) bool {
	return o.outcome.Answer != nil && len(o.outcome.Answer.Body) > c.cfg.MaxInline
}

func (c *Claims) storeObject(o *op) {
	o.phase = phaseObject
	c.emit(Action{StoreObject: &StoreObject{Row: o.row, Name: objectName(o.token), Body: o.outcome.Answer.Body}})
}

func objectName(t Token) string { return ObjectPrefix + url.PathEscape(string(t)) }

// ObjectReply handles the result of a StoreObject action for the row.
func (c *Claims) ObjectReply(now time.Duration, row string, stored bool) []Action {
	c.advance(now)
	queue := c.ops[row]
	if len(queue) == 0 || queue[0].phase != phaseObject {
		return c.flush()
	}
	o := queue[0]
	if stored {
		c.objectStored(o)
	} else {
		c.objectFailed(o)
	}
	return c.flush()
}

func (c *Claims) objectStored(o *op) {
	answer := *o.outcome.Answer
	answer.Object = objectName(o.token)
	answer.ObjectBytes = len(answer.Body)
	answer.Body = nil
	o.outcome.Answer = &answer
	c.start(o)
}

func (c *Claims) objectFailed(o *op) {
	o.objectAttempts++
	if o.objectAttempts < maxObjectAttempts {
		c.startTimer(objectRetryDelay, timer{kind: timerRetry, op: o})
		return
	}
	o.outcome = Outcome{Failure: &Failure{
		Verdict: verdict.Ran,
		Code:    verdict.CodeUnavailable,
		Message: "the call ran, its answer was too large to be kept in the table and could not be stored",
	}}
	c.start(o)
}

// retry continues an op after a delay.
func (c *Claims) retry(o *op) {
	switch o.phase {
	case phaseObject:
		c.storeObject(o)
	case phaseReadDelay:
		c.queueRead(o)
	}
}

// deadlineReached ends an op that has timed out.
func (c *Claims) deadlineReached(o *op) {
	if o.phase == phaseDone || c.now < o.deadline {
		return
	}
	if o.kind != opBegin {
		c.settle(o, false)
		c.done(o)
		return
	}
	c.refuse(o, verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable,
		"the claim could not be stored in %s", c.cfg.MaxWait).WithRetryAfter(defaultRetryAfter))
	c.abandon(o)
}

// abandon drops a Begin. If a write of it may have taken effect, the op continues
// as a Release: nothing was dispatched, so the key may be freed.
func (c *Claims) abandon(o *op) {
	if !o.writeUncertain && o.phase != phaseWriting {
		c.done(o)
		return
	}
	o.kind = opRelease
	c.setDeadline(o, c.cfg.FinishTimeout)
}

// done removes an op and starts the next one of its row.
func (c *Claims) done(o *op) {
	o.phase = phaseDone
	c.count--
	queue := c.ops[o.row]
	at := slices.Index(queue, o)
	queue = slices.Delete(queue, at, at+1)
	if len(queue) == 0 {
		delete(c.ops, o.row)
		return
	}
	c.ops[o.row] = queue
	if at == 0 {
		c.start(queue[0])
	}
}
