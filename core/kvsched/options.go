// Package kvsched implements sched.Scheduler for a pool whose decode engines
// are limited by memory rather than by slots. A prefill is granted only
// together with memory for prompt and expected output on a decode engine, so
// that no prefill is wasted; requests wait for memory as long as their callers
// do. The scheduler is deterministic. See docs/design/memory.md.
package kvsched

import (
	"time"

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
	// Settle is the time after the start in which nothing is granted: daemons
	// report the grants in use to a new owner.
	Settle time.Duration
	// Horizon is how far ahead a prefill is granted, so that the next prompt is
	// at the engine when the engine becomes idle.
	Horizon time.Duration
	// OutputShare is the share of the expected output that is reserved.
	OutputShare float64
	// MemoryShare is the share of an engine's memory that is allocated.
	MemoryShare float64
	// LateFreeShare is the share of the pool's memory that must be free for a
	// request that has missed its target: a late request must not displace one
	// that can be in time.
	LateFreeShare float64
	// BypassAfter is how long the first request in the queue may be bypassed
	// while it fits on no engine.
	BypassAfter time.Duration
	// FullHold is how long an engine that refused for lack of memory gets no
	// new work.
	FullHold time.Duration
	// ExpiresIn is how long a grant is valid until its first Progress.
	ExpiresIn time.Duration
	// MaxQueue bounds the number of waiting requests.
	MaxQueue int
	// MaxEnded bounds the number of records of ended requests, which keep a late
	// duplicate of a Want from being granted again.
	MaxEnded int
	// ForecastRefusal refuses a request at once if the forecast of when the requests in
	// progress end shows no room for it in time.
	ForecastRefusal bool
	// UrgentReserve keeps memory free for the requests of the highest priority.
	UrgentReserve bool
	// AvoidLossy prefers engines that have lost less work of late than their peers, while
	// these have room.
	AvoidLossy bool
	// Disabled lists mechanisms to switch off for measurements.
	Disabled []Mechanism
	// Health reports the allowed endpoints; nil allows every endpoint.
	Health sched.HealthView
	// Violation is called for broken invariants; may be nil.
	Violation func(name, detail string)
}

// Defaults of Options.
const (
	// DefaultSettle covers a heartbeat and the adoption of grants.
	DefaultSettle = 150 * time.Millisecond
	// DefaultHorizon is about the prefill time of one prompt.
	DefaultHorizon       = 60 * time.Millisecond
	DefaultOutputShare   = 1.0
	DefaultMemoryShare   = 0.96
	DefaultLateFreeShare = 0.15
	DefaultBypassAfter   = 150 * time.Millisecond
	DefaultFullHold      = 150 * time.Millisecond
	DefaultExpiresIn     = time.Second
	DefaultMaxQueue      = 8192
	DefaultMaxEnded      = 4096
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
	defaults.Set(&o.MaxEnded, DefaultMaxEnded)
	return o
}
