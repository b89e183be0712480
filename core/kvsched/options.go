// Package kvsched is the scheduler of a pool whose decode engines are bound by
// memory rather than by slots. A prefill is granted only together with the
// decode engine's memory for prompt and expected output, so that no prompt is
// read in vain; requests wait for memory as long as their callers do. It is
// deterministic and implements sched.Scheduler. See docs/design/memory.md.
package kvsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Options are the tunables. A zero field takes its default.
type Options struct {
	// Pool that the scheduler decides for.
	Pool id.Pool
	// Self is the daemon that runs it.
	Self id.Process
	// FirstReservation is the number behind which grants are numbered.
	FirstReservation uint64
	// Settle is the time after the start in which nothing is granted: the
	// daemons tell a new owner what is in use.
	Settle time.Duration
	// Horizon is how far ahead a prefill is granted, so that the next prompt is
	// at the engine when it gets idle.
	Horizon time.Duration
	// OutputShare of the expected output is reckoned with.
	OutputShare float64
	// MemoryShare of an engine's memory is given out.
	MemoryShare float64
	// LateRoom is the share of the pool's memory that must be free for a
	// request that has missed its target: it must not displace one in time.
	LateFreeShare float64
	// BypassAfter is how long the first in the queue may be passed by for lack
	// of room for its size.
	BypassAfter time.Duration
	// FullHold is how long an engine that refused for lack of room gets
	// nothing new.
	FullHold time.Duration
	// ExpiresIn is how long a grant holds until its first Progress.
	ExpiresIn time.Duration
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// Remembered bounds the ended requests that are remembered, so that a late
	// repeat of a Want isn't granted again.
	Remembered int
	// Disabled mechanisms are switched off: for measurements.
	Disabled []Mechanism
	// Health may be nil: every endpoint is allowed.
	Health sched.HealthView
	// Violation hears of broken invariants; may be nil.
	Violation func(name, detail string)
}

// Defaults of Options.
const (
	// DefaultSettle covers a heartbeat and the hand-over of grants.
	DefaultSettle = 150 * time.Millisecond
	// DefaultHorizon is about the time that one prompt takes.
	DefaultHorizon       = 60 * time.Millisecond
	DefaultOutputShare   = 1.0
	DefaultMemoryShare   = 0.96
	DefaultLateFreeShare = 0.15
	DefaultBypassAfter   = 150 * time.Millisecond
	DefaultFullHold      = 150 * time.Millisecond
	DefaultExpiresIn     = time.Second
	DefaultMaxQueue      = 8192
	DefaultRemembered    = 4096
)

func (o Options) withDefaults() Options {
	defaults.Set(&o.Settle, DefaultSettle)
	defaults.Set(&o.Horizon, DefaultHorizon)
	defaults.Set(&o.OutputShare, DefaultOutputShare)
	defaults.Set(&o.MemoryShare, DefaultMemoryShare)
	defaults.Set(&o.LateFreeShare, DefaultLateFreeShare)
	defaults.Set(&o.BypassAfter, DefaultBypassAfter)
	defaults.Set(&o.FullHold, DefaultFullHold)
	defaults.Set(&o.ExpiresIn, DefaultExpiresIn)
	defaults.Set(&o.MaxQueue, DefaultMaxQueue)
	defaults.Set(&o.Remembered, DefaultRemembered)
	return o
}
