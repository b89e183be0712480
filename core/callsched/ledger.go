package callsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Ledger is the scheduler of one pool. It is not safe for concurrent use.
type Ledger struct {
	options Options
}

// New returns the scheduler of a pool's owner.
func New(o Options) *Ledger { return &Ledger{options: o.withDefaults()} }

// Configure implements sched.Scheduler.
func (l *Ledger) Configure(time.Duration, *live.Document) []sched.Action { return nil }

// Want implements sched.Scheduler; the queue isn't built yet, so it refuses every call.
func (l *Ledger) Want(_ time.Duration, w sched.Want) []sched.Action {
	refusal := &sched.Refusal{Request: w.Request, Code: verdict.CodeUnavailable, Reason: "the call queue isn't built yet"}
	return []sched.Action{{To: w.From, Refusal: refusal}}
}

// Withdraw implements sched.Scheduler.
func (l *Ledger) Withdraw(time.Duration, id.Request) []sched.Action { return nil }

// Progress implements sched.Scheduler.
func (l *Ledger) Progress(time.Duration, sched.Progress) []sched.Action { return nil }

// Adopt implements sched.Scheduler.
func (l *Ledger) Adopt(time.Duration, sched.Adopt) []sched.Action { return nil }

// Load implements sched.Scheduler.
func (l *Ledger) Load(time.Duration, sched.Load) []sched.Action { return nil }

// Cache implements sched.Scheduler; calls have no cache.
func (l *Ledger) Cache(time.Duration, id.Endpoint, []sched.CacheEvent, bool) {}

// ProcessGone implements sched.Scheduler.
func (l *Ledger) ProcessGone(time.Duration, id.Process) []sched.Action { return nil }

// Tick implements sched.Scheduler.
func (l *Ledger) Tick(time.Duration) []sched.Action { return nil }

// Next implements sched.Scheduler.
func (l *Ledger) Next() time.Duration { return 1<<63 - 1 }
