package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/prefixhash"
)

// HealthView reports which endpoints may get new work; core/health implements it.
type HealthView interface {
	Allowed(e id.Endpoint) bool
	// Doubt returns by how much more often than its peers the endpoint has lost work of
	// late, from 0 to 1. It leaves out no endpoint.
	Doubt(now time.Duration, e id.Endpoint) float64
}

// Reservation selects when a decode slot is reserved.
type Reservation uint8

const (
	// JustInTime starts a prefill so that its slot is predicted to be free when
	// the prefill ends.
	JustInTime Reservation = iota
	// Early reserves a slot that is free when the request is granted.
	Early
)

// Options are the settings of the schedulers. A zero field selects its default.
type Options struct {
	// Pool is the pool that is scheduled.
	Pool id.Pool
	// Self is the daemon that runs the scheduler.
	Self id.Process
	// Seed is the seed of the random numbers.
	Seed uint64
	// FirstReservation is the number after which the numbers of grants start.
	// Default 0.
	FirstReservation uint64
	// Reservation is when a decode slot is reserved. Default JustInTime.
	Reservation Reservation
	// KVLife is how long an exported KV cache lives. Default 800 ms.
	KVLife time.Duration
	// Horizon is how far ahead a prefill is granted, so that it is at the engine
	// when the engine becomes idle. Default 15 ms.
	Horizon time.Duration
	// AffinityWait is the longest wait for a prefill engine that has the
	// prompt's prefix cached. Default 100 ms.
	AffinityWait time.Duration
	// ExpiresIn is how long a grant is valid without a Progress after the
	// predicted end of its phase. Default 500 ms.
	ExpiresIn time.Duration
	// Settle is the period after the start in which only endpoints that have
	// reported get work, as far as their reports allow. Default 300 ms.
	Settle time.Duration
	// ReportLag is how old a load report may be on arrival. Default 500 ms.
	ReportLag time.Duration
	// FullHold is how long an endpoint that refused for lack of capacity gets
	// no new work. Default 100 ms.
	FullHold time.Duration
	// LeavingHold is how long an engine's refusal because it is leaving
	// overrides reports to the contrary. Default 2 s.
	LeavingHold time.Duration
	// Poll is the interval at which a blocked queue is retried. Default 2 ms.
	Poll time.Duration
	// MaxQueue bounds the waiting requests. Default 8192.
	MaxQueue int
	// MaxTeamQueue bounds the waiting requests of a team. Default 1024.
	MaxTeamQueue int
	// CacheBlocks bounds the cache view of one endpoint, in blocks. Default 4096.
	CacheBlocks int
	// CacheLife is how long a block is assumed to be cached. Default 5 min.
	CacheLife time.Duration
	// BlockTokens is the number of prompt tokens in one prefix block. Default
	// prefixhash.BlockTokens.
	BlockTokens int
	// KVBytesPerToken is the initial estimate of the KV cache's size per prompt
	// token, in bytes; Progress messages correct it. Default 64 KiB.
	KVBytesPerToken float64
	// LoadBound is the ratio of an endpoint's predicted queue to the mean above
	// which the endpoint gets no affinity bonus. Default 1.25.
	LoadBound float64
	// AffinityWeight is the weight of the engine time that a cached prefix
	// saves. Default 1.
	AffinityWeight float64
	// DomainBonus is the score for staying within a failure domain. Default 5 ms.
	DomainBonus time.Duration
	// RiskDeviations is the initial margin, in deviations, that a service with
	// WasteWeight 1 adds to a slot's predicted release. The outcomes of
	// prefills correct it. Default 2.
	RiskDeviations float64
	// WasteTolerance is the fraction of the prefills begun on a predicted slot
	// that a service with WasteWeight 0 accepts as wasted. Default 0.1.
	WasteTolerance float64
	// FreeSlotWaste is the WasteWeight from which a service uses only slots that
	// are free now. Default 0.95.
	FreeSlotWaste float64
	// MaxEnded bounds the records of ended requests, which keep a late
	// duplicate of a Want from running again. Default 16384.
	MaxEnded int
	// Health may be nil; then every endpoint is allowed.
	Health HealthView
	// Violation is called for each violated invariant; it may be nil.
	Violation func(name, detail string)
}

// Defaults of Options.
const (
	DefaultKVLife          = 800 * time.Millisecond
	DefaultHorizon         = 15 * time.Millisecond
	DefaultAffinityWait    = 100 * time.Millisecond
	DefaultExpiresIn       = 500 * time.Millisecond
	DefaultSettle          = 300 * time.Millisecond
	DefaultReportLag       = 500 * time.Millisecond
	DefaultFullHold        = 100 * time.Millisecond
	DefaultLeavingHold     = 2 * time.Second
	DefaultPoll            = 2 * time.Millisecond
	DefaultMaxQueue        = 8192
	DefaultMaxTeamQueue    = 1024
	DefaultCacheBlocks     = 4096
	DefaultCacheLife       = 5 * time.Minute
	DefaultBlockTokens     = prefixhash.BlockTokens
	DefaultKVBytesPerToken = 64 << 10
	DefaultLoadBound       = 1.25
	DefaultAffinityWeight  = 1.0
	DefaultDomainBonus     = 5 * time.Millisecond
	DefaultRiskDeviations  = 2.0
	DefaultWasteTolerance  = 0.1
	DefaultFreeSlotWaste   = 0.95
	DefaultMaxEnded        = 16384
)

// withDefaults returns the options with every zero field set.
func (o Options) withDefaults() Options {
	defaults.Set(&o.KVLife, DefaultKVLife)
	defaults.Set(&o.Horizon, DefaultHorizon)
	defaults.Set(&o.AffinityWait, DefaultAffinityWait)
	defaults.Set(&o.ExpiresIn, DefaultExpiresIn)
	defaults.Set(&o.Settle, DefaultSettle)
	defaults.Set(&o.ReportLag, DefaultReportLag)
	defaults.Set(&o.FullHold, DefaultFullHold)
	defaults.Set(&o.LeavingHold, DefaultLeavingHold)
	defaults.Set(&o.Poll, DefaultPoll)
	defaults.Set(&o.MaxQueue, DefaultMaxQueue)
	defaults.Set(&o.MaxTeamQueue, DefaultMaxTeamQueue)
	defaults.Set(&o.CacheBlocks, DefaultCacheBlocks)
	defaults.Set(&o.CacheLife, DefaultCacheLife)
	defaults.Set(&o.BlockTokens, DefaultBlockTokens)
	defaults.Set(&o.KVBytesPerToken, DefaultKVBytesPerToken)
	defaults.Set(&o.LoadBound, DefaultLoadBound)
	defaults.Set(&o.AffinityWeight, DefaultAffinityWeight)
	defaults.Set(&o.DomainBonus, DefaultDomainBonus)
	defaults.Set(&o.RiskDeviations, DefaultRiskDeviations)
	defaults.Set(&o.WasteTolerance, DefaultWasteTolerance)
	defaults.Set(&o.FreeSlotWaste, DefaultFreeSlotWaste)
	defaults.Set(&o.MaxEnded, DefaultMaxEnded)
	return o
}
