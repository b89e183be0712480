package overload

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// Owner describes the daemon that schedules the pool and spends processor time
// on each message. Messages queue there, so the scheduler handles an event only
// when its message's turn comes. The zero value takes no time.
type Owner struct {
	// Share is the CPU quota of the owner's host, as a share of a core; 0 for
	// an owner that takes no time.
	Share float64
	// MessageCost is the processor time of one message, without the engines
	// that the scheduler evaluates for requests.
	MessageCost time.Duration
	// TryCost is the processor time of evaluating one engine for one request.
	TryCost time.Duration
}

// evaluationCounter is a scheduler that counts the engines that it evaluates.
type evaluationCounter interface{ Tried() uint64 }

// owner is the state of the pool's owner.
type owner struct {
	w *simulation
	// mailbox holds the waiting messages; busy is set while one is handled.
	mailbox []func() []sched.Action
	busy    bool
}

// handle queues a message for the scheduler; an owner that takes no time
// handles it at once.
func (o *owner) handle(message func() []sched.Action) {
	if o.w.Owner.Share == 0 {
		o.w.apply(message())
		return
	}
	o.mailbox = append(o.mailbox, message)
	if !o.busy {
		o.handleNext()
	}
}

// handleNext handles the oldest message. The resulting actions take effect
// after the processor time of the message.
func (o *owner) handleNext() {
	o.busy = len(o.mailbox) > 0
	if !o.busy {
		return
	}
	message := o.mailbox[0]
	o.mailbox = o.mailbox[1:]
	before := o.tried()
	actions := message()
	cost := o.w.Owner.MessageCost + time.Duration(o.tried()-before)*o.w.Owner.TryCost
	o.w.schedule(o.w.now+time.Duration(float64(cost)/o.w.Owner.Share), func() {
		o.w.apply(actions)
		o.handleNext()
	})
}

func (o *owner) tried() uint64 {
	if c, ok := o.w.scheduler.(evaluationCounter); ok {
		return c.Tried()
	}
	return 0
}

// nextTick is when the scheduler is due for a tick. A busy owner needs none, as
// the scheduler acts with each message.
func (o *owner) nextTick() time.Duration {
	if o.busy {
		return math.MaxInt64
	}
	return o.w.scheduler.Next()
}
