package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// EngineDemand is the load of one engine of a pool, for placement.
type EngineDemand struct {
	Endpoint id.Endpoint
	// Requests is the number of requests at the engine.
	Requests int
	// Drained is set while the engine gets no new work or is about to change its
	// role.
	Drained bool
}

// Demand is the load of a pool by role, for the assignment of roles.
type Demand struct {
	Prefills []EngineDemand
	Decodes  []EngineDemand
	// PrefillWork is the predicted engine time of all prefills granted since the
	// scheduler started, including prefills that decode engines run themselves.
	PrefillWork time.Duration
	// PrefillBacklog is the predicted time of all granted prefills that have not
	// ended.
	PrefillBacklog time.Duration
	// Memory is the memory of the decode engines, in tokens; MemoryHeld is the
	// part in use.
	Memory     int
	MemoryHeld int
	// Queued is the number of queued requests. MemoryWanted is the memory that they
	// need and PromptWanted the length of their prompts, both in tokens.
	Queued       int
	MemoryWanted int
	PromptWanted int
	// Attempts counts the attempts to place a request on an engine since the
	// scheduler started, which are most of its work. RepeatedWants counts the Wants
	// that arrived again while they were queued.
	Attempts      uint64
	RepeatedWants uint64
}

// DemandReporter is a scheduler that reports the demand of its pool.
type DemandReporter interface {
	Demand(now time.Duration) Demand
}
