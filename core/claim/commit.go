package claim

import (
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

const (
	// maxCommitBytes bounds the values of one transaction, in bytes. No value is
	// added once their sum has reached it, so that the last value may exceed it.
	maxCommitBytes = 1 << 20
	// backoffMin and backoffMax bound the delay after a failed store call.
	backoffMin = 10 * time.Millisecond
	backoffMax = time.Second
)

// committer collects writes for group commits.
type committer struct {
	queue []*op
	// waitingSince is when the batching window of the queue began.
	waitingSince time.Duration
	// skipWindow is set when writes are requeued: they have already waited for a
	// window.
	skipWindow bool
	inFlight   int
	// notBefore is the earliest start of the next transaction, by Config.MinInterval.
	notBefore time.Duration
	// retryAt is the earliest time of the next store call after a failed one.
	retryAt  time.Duration
	failures int
}

// reader collects reads for batches.
type reader struct {
	queue    []*op
	inFlight int
}

// storeCall is one transaction or read in flight.
type storeCall struct {
	ops  []*op
	read bool
}

func (c *Claims) queueWrite(o *op) {
	if len(c.commit.queue) == 0 {
		c.commit.waitingSince = c.now
	}
	o.phase = phaseWrite
	c.commit.queue = append(c.commit.queue, o)
}

func (c *Claims) queueRead(o *op) {
	o.phase = phaseRead
	c.reads.queue = append(c.reads.queue, o)
}

// delayRead reads the row again after a delay: the last read was stale.
func (c *Claims) delayRead(o *op) {
	o.phase = phaseReadDelay
	c.startTimer(staleReadDelay, timer{kind: timerRetry, op: o})
}

// nextSendAt returns when the queued writes or reads may be sent, or Never.
func (c *Claims) nextSendAt() time.Duration {
	at := Never
	if len(c.commit.queue) > 0 && c.commit.inFlight < c.cfg.MaxInFlight {
		at = max(c.windowEnd(), c.commit.notBefore, c.commit.retryAt)
	}
	if len(c.reads.queue) > 0 && c.reads.inFlight < c.cfg.MaxInFlight {
		at = min(at, c.commit.retryAt)
	}
	return at
}

func (c *Claims) windowEnd() time.Duration {
	if c.commit.skipWindow || len(c.commit.queue) >= c.cfg.MaxBatch {
		return c.now
	}
	return c.commit.waitingSince + c.cfg.Window
}

// flush sends the writes and reads that are due and returns all pending actions.
func (c *Claims) flush() []Action {
	c.commit.queue = keepInPhase(c.commit.queue, phaseWrite)
	c.reads.queue = keepInPhase(c.reads.queue, phaseRead)
	for c.nextSendAt() <= c.now {
		if c.writeDue() {
			c.sendTransaction()
		} else {
			c.sendRead()
		}
	}
	out := c.actions
	c.actions = nil
	return out
}

func (c *Claims) writeDue() bool {
	due := max(c.windowEnd(), c.commit.notBefore, c.commit.retryAt)
	return len(c.commit.queue) > 0 && c.commit.inFlight < c.cfg.MaxInFlight && due <= c.now
}

// keepInPhase removes the ops that are in another phase.
func keepInPhase(ops []*op, want phase) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool { return o.phase != want })
}

func (c *Claims) sendTransaction() {
	var t table.Transaction
	var ops []*op
	size := 0
	for _, o := range c.commit.queue {
		if len(ops) == c.cfg.MaxBatch || size >= maxCommitBytes {
			break
		}
		value := c.encode(o)
		size += len(value)
		t.Conditions = append(t.Conditions, table.Condition{Key: o.row, Version: o.expectedVersion})
		t.Puts = append(t.Puts, table.Put{Key: o.row, Value: value})
		ops = append(ops, o)
	}
	c.commit.queue = slices.Delete(c.commit.queue, 0, len(ops))
	c.commit.waitingSince = c.now
	c.commit.skipWindow = false
	c.commit.inFlight++
	c.commit.notBefore = c.now + c.cfg.MinInterval
	c.stats.Transactions++
	c.stats.Rows += uint64(len(ops))
	c.emit(Action{Transact: &Transact{ID: c.newStoreCall(&storeCall{ops: ops}), Transaction: t}})
}

func (c *Claims) encode(o *op) []byte {
	row := o.rowToWrite(c.cfg.Retention)
	o.sentState = row.State
	o.phase = phaseWriting
	value, err := EncodeRow(row)
	if err != nil {
		panic(err) // unreachable: every field of a Row can be encoded
	}
	return value
}

func (c *Claims) sendRead() {
	n := min(len(c.reads.queue), c.cfg.MaxBatch)
	ops := slices.Clone(c.reads.queue[:n])
	c.reads.queue = slices.Delete(c.reads.queue, 0, n)
	keys := make([]string, 0, n)
	for _, o := range ops {
		o.phase = phaseReading
		keys = append(keys, o.row)
	}
	c.reads.inFlight++
	c.stats.Reads++
	c.emit(Action{Read: &Read{ID: c.newStoreCall(&storeCall{ops: ops, read: true}), Keys: keys}})
}

func (c *Claims) newStoreCall(k *storeCall) StoreCallID {
	c.lastID++
	c.storeCalls[c.lastID] = k
	c.startTimer(c.cfg.CallTimeout, timer{kind: timerStoreCall, callID: c.lastID})
	return c.lastID
}

// endStoreCall removes a store call from those in flight and returns it, or nil
// if it has ended already, for example by a timeout.
func (c *Claims) endStoreCall(id StoreCallID) *storeCall {
	k, ok := c.storeCalls[id]
	if !ok {
		return nil
	}
	delete(c.storeCalls, id)
	if k.read {
		c.reads.inFlight--
	} else {
		c.commit.inFlight--
	}
	return k
}

// StoreFailed handles a store call that failed without a reply.
func (c *Claims) StoreFailed(now time.Duration, id StoreCallID, f StoreFailure) []Action {
	c.advance(now)
	c.storeFailed(id, f)
	return c.flush()
}

func (c *Claims) storeFailed(id StoreCallID, f StoreFailure) {
	k := c.endStoreCall(id)
	if k == nil {
		return
	}
	c.backOff()
	if k.read {
		c.requeueReads(k.ops)
		return
	}
	if f == OutcomeUnknown {
		c.stats.Unknowns++
		markWritesUncertain(k.ops)
	}
	c.requeueWrites(k.ops)
}

func markWritesUncertain(ops []*op) {
	for _, o := range ops {
		o.writeUncertain = true
	}
}

func (c *Claims) backOff() {
	c.commit.failures++
	wait := float64(backoffMin) * math.Pow(2, float64(c.commit.failures-1))
	c.commit.retryAt = c.now + time.Duration(min(wait, float64(backoffMax)))
}

func (c *Claims) resetBackoff() {
	c.commit.failures = 0
	c.commit.retryAt = 0
}

// requeueWrites puts ops back at the head of the queue, without a new window.
func (c *Claims) requeueWrites(ops []*op) {
	ops = keepInPhase(slices.Clone(ops), phaseWriting)
	for _, o := range ops {
		o.phase = phaseWrite
	}
	c.commit.queue = append(ops, c.commit.queue...)
	c.commit.skipWindow = len(c.commit.queue) > 0
}

func (c *Claims) requeueReads(ops []*op) {
	for _, o := range keepInPhase(slices.Clone(ops), phaseReading) {
		c.queueRead(o)
	}
}
