package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// EngineDemand is one engine of a pool as placement sees it.
type EngineDemand struct {
	Endpoint id.Endpoint
	// Work counts the requests that are at the engine.
	Work int
	// Drained is set while it gets no new work, or is about to change its role.
	Drained bool
}

// Demand is what a pool's roles have to do, for the choice of roles.
type Demand struct {
	Prefills []EngineDemand
	Decodes  []EngineDemand
	// PrefillWork is the predicted engine time of all prefills that were granted
	// since the scheduler began, those that decode engines do themselves included.
	PrefillWork time.Duration
	// PrefillBacklog is the predicted time of all granted prefills.
	PrefillBacklog time.Duration
	// Memory is that of the decode engines, in tokens; MemoryHeld is in use.
	Memory     int
	MemoryHeld int
	// Queued requests want MemoryWanted tokens of memory and have PromptWanted
	// tokens to be read.
	Queued       int
	MemoryWanted int
	PromptWanted int
	// Tried counts how often an engine was tried for a request since the
	// scheduler began, which is most of its work, and Repeated the wants that
	// came again while they waited.
	Tried    uint64
	Repeated uint64
}

// Demander is a scheduler that tells the demand of its pool.
type Demander interface {
	Demand(now time.Duration) Demand
}
