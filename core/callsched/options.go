// Package callsched implements sched.Scheduler for the pool of a plain service: one queue
// for the calls of all daemons. It bounds the calls in flight at each endpoint, orders the
// waiting calls, and refuses a call at once if it forecasts that the call can't be served
// in time. The scheduler is deterministic. See docs/design/call-queue.md.
package callsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Options configure a Ledger. A zero field takes its default.
type Options struct {
	// Pool is the pool that is scheduled.
	Pool id.Pool
	// Self is the process that runs the scheduler.
	Self id.Process
	// FirstReservation is the number after which reservations are numbered.
	FirstReservation uint64
	// Limiter bounds the calls in flight at each endpoint; nil for the configured slots.
	Limiter concurrency.Limiter
	// Health reports the allowed endpoints; nil allows every endpoint.
	Health sched.HealthView
	// AvoidLossy prefers endpoints that have lost fewer calls of late than their peers, while
	// these have room.
	AvoidLossy bool
	// Settle is how long a new owner keeps half of each endpoint free for the calls of
	// a former owner's grants that it doesn't know of yet.
	Settle time.Duration
	// MaxQueue bounds the number of waiting calls.
	MaxQueue int
	// MaxEnded bounds the number of records of ended calls, which keep a late duplicate
	// of a Want from being granted again.
	MaxEnded int
	// Violation is called for broken invariants; may be nil.
	Violation func(name, detail string)
}

// Defaults of Options.
const (
	// DefaultSettle covers a heartbeat and the adoption of grants.
	DefaultSettle   = 150 * time.Millisecond
	DefaultMaxQueue = 2048
	DefaultMaxEnded = 4096
)

func (o Options) withDefaults() Options {
	defaults.Set(&o.Settle, DefaultSettle)
	defaults.Set(&o.MaxQueue, DefaultMaxQueue)
	defaults.Set(&o.MaxEnded, DefaultMaxEnded)
	return o
}
