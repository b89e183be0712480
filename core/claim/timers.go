package claim

import (
	"container/heap"
	"time"
)

// timer ends an op's delay, or times out an op or a store call.
type timer struct {
	at     time.Duration
	seq    uint64
	op     *op
	callID StoreCallID
	kind   timerKind
}

type timerKind uint8

const (
	// timerDeadline times out an op.
	timerDeadline timerKind = iota + 1
	// timerRetry ends an op's delay.
	timerRetry
	// timerStoreCall times out a store call.
	timerStoreCall
)

// timers is a heap ordered by time, then by order of creation.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

func (c *Claims) startTimer(d time.Duration, t timer) {
	c.timerSeq++
	t.at = c.now + d
	t.seq = c.timerSeq
	heap.Push(&c.timers, t)
}

// fireTimers handles the timers that are due.
func (c *Claims) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		switch t.kind {
		case timerDeadline:
			c.deadlineReached(t.op)
		case timerRetry:
			c.retry(t.op)
		case timerStoreCall:
			c.storeFailed(t.callID, OutcomeUnknown)
		}
	}
}
