package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/prefixhash"
)

// HealthView says which endpoints may get new work; core/health satisfies it.
type HealthView interface {
	Allowed(e id.Endpoint) bool
}

// Reservation says when a decode slot is reserved.
type Reservation uint8

const (
	// JustInTime starts a prefill so that its end and transfer meet a slot
	// that is predicted to be free by then.
	JustInTime Reservation = iota
	// Early reserves a slot that is free at the start of the prefill's wait.
	Early
)

// Options are the tunables of the policies. A zero field takes its default.
type Options struct {
	// Pool that the scheduler decides for.
	Pool id.Pool
	// Self is the daemon that runs it.
	Self id.Process
	// Seed of the tie-breaks.
	Seed uint64
	// FirstReservation is the number behind which grants are numbered. Default 0.
	FirstReservation uint64
	// Reservation is when a decode slot is reserved. Default JustInTime.
	Reservation Reservation
	// KVLife is how long an exported KV cache lives. Default 800 ms.
	KVLife time.Duration
	// Horizon is how far ahead a prefill is granted, so that the order is at
	// the engine when it gets idle. Default 15 ms.
	Horizon time.Duration
	// AffinityWait is the longest wait for a prefill engine that has the
	// prompt's prefix. Default 100 ms.
	AffinityWait time.Duration
	// ExpiresIn is how long a grant holds without a Progress, beyond its
	// predicted phase. Default 500 ms.
	ExpiresIn time.Duration
	// Settle is the time after start in which only endpoints that have
	// reported get work, as far as their reports allow. Default 300 ms.
	Settle time.Duration
	// ReportLag is how old a load report may be on arrival. Default 500 ms.
	ReportLag time.Duration
	// FullHold is how long an endpoint that refused for lack of room gets
	// nothing new. Default 100 ms.
	FullHold time.Duration
	// LeavingHold is how long an engine's refusal because it leaves outweighs
	// reports to the contrary. Default 2 s.
	LeavingHold time.Duration
	// Poll is how soon a blocked queue is tried again. Default 2 ms.
	Poll time.Duration
	// MaxQueue bounds the waiting requests. Default 8192.
	MaxQueue int
	// MaxTeamQueue bounds the waiting requests of a team. Default 1024.
	MaxTeamQueue int
	// CacheBlocks bounds the cache view of one endpoint, in blocks. Default 4096.
	CacheBlocks int
	// CacheLife is how long a block is believed to be cached. Default 5 min.
	CacheLife time.Duration
	// BlockTokens is the number of prompt tokens in one prefix block. Default
	// prefixhash.BlockTokens.
	BlockTokens int
	// KVBytesPerToken is the first estimate of the KV cache's size per prompt
	// token, in bytes; progress corrects it. Default 64 KiB.
	KVBytesPerToken float64
	// LoadBound is the factor over the mean predicted queue past which an
	// endpoint gets no affinity bonus. Default 1.25.
	LoadBound float64
	// AffinityWeight weighs engine time saved by a cached prefix. Default 1.
	AffinityWeight float64
	// DomainBonus is what staying in a failure domain is worth. Default 5 ms.
	DomainBonus time.Duration
	// RiskDeviations is how many deviations of a slot's predicted release a
	// service with WasteWeight 1 adds at first before it relies on it; what
	// becomes of the prefills corrects it. Default 2.
	RiskDeviations float64
	// WasteTolerance is the part of the prefills begun on a predicted slot
	// that a service with WasteWeight 0 accepts as wasted. Default 0.1.
	WasteTolerance float64
	// CertainWaste is the WasteWeight from which only slots that are free now
	// are relied on. Default 0.95.
	CertainWaste float64
	// Remembered bounds the finished requests that are remembered, so that a
	// late repeat of a Want isn't run again. Default 16384.
	Remembered int
	// Health may be nil: every endpoint is allowed.
	Health HealthView
	// Violation hears of broken invariants; may be nil.
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
	DefaultCertainWaste    = 0.95
	DefaultRemembered      = 16384
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
	defaults.Set(&o.CertainWaste, DefaultCertainWaste)
	defaults.Set(&o.Remembered, DefaultRemembered)
	return o
}
