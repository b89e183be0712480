package overload

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// Owner is the daemon that schedules the pool, for which each message takes
// processor time. Messages wait for one another there, and the scheduler hears
// of what happened when their turn comes. The zero value takes no time.
type Owner struct {
	// Share of a core that its host grants; 0 for an owner that takes no time.
	Share float64
	// Message is the processor time of one message, besides the engines that
	// the scheduler tries for requests.
	MessageCost time.Duration
	// Try is the processor time of trying one engine for one request.
	TryCost time.Duration
}

// counting is a scheduler that counts the engines that it tries.
type evaluationCounter interface{ Tried() uint64 }

// owner is the state of the pool's owner.
type owner struct {
	w *simulation
	// mailbox holds the messages that wait; busy is set while one is handled.
	mailbox []func() []sched.Action
	busy    bool
}

// tell has the scheduler handle a message when its turn comes.
func (o *owner) handle(handle func() []sched.Action) {
	if o.w.Owner.Share == 0 {
		o.w.apply(handle())
		return
	}
	o.mailbox = append(o.mailbox, handle)
	if !o.busy {
		o.handleNext()
	}
}

// handleNext handles the oldest message. What was decided goes out when the
// processor time for it has passed.
func (o *owner) handleNext() {
	o.busy = len(o.mailbox) > 0
	if !o.busy {
		return
	}
	handle := o.mailbox[0]
	o.mailbox = o.mailbox[1:]
	before := o.tried()
	actions := handle()
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

// next is when the scheduler wants to be looked at. One that is at work looks
// with each message.
func (o *owner) nextTick() time.Duration {
	if o.busy {
		return math.MaxInt64
	}
	return o.w.scheduler.Next()
}
