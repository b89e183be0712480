// Package health detects grey failures: endpoints that accept work but are slow
// or fail, including those that pass health checks. It uses only the outcomes of
// real work. It ejects a bad endpoint for some time, then probes it with single
// requests before it takes full load again. See docs/design/grey-failures.md.
package health

import (
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Member is an endpoint with its pool and role: the group in which it is compared
// and ejected.
type Member struct {
	Endpoint id.Endpoint
	Pool     id.Pool
	Role     live.Role
}

// OutcomeKind is how a piece of work ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OK: the work succeeded.
	OK OutcomeKind = iota + 1
	// Failed: the endpoint returned an error that it caused itself.
	Failed
	// TimedOut: no answer arrived in time.
	TimedOut
	// Crashed: the endpoint's incarnation ended.
	Crashed
	// Neutral: the work ended for a reason unrelated to the endpoint's health.
	Neutral
)

// Result is the outcome of one piece of work.
type Result struct {
	Request id.Request
	Kind    OutcomeKind
	// Latency is normalised by the size of the work, so that it is comparable
	// within a group: time per prompt token or per output token. Zero if unknown.
	Latency time.Duration
}

// State is the state of an endpoint.
type State uint8

// The states of an endpoint.
const (
	// Healthy endpoints get work.
	Healthy State = iota + 1
	// Ejected endpoints get no work until the ejection ends.
	Ejected
	// Probing endpoints get one request at a time.
	Probing
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Ejected:
		return "ejected"
	case Probing:
		return "probing"
	default:
		return "unknown"
	}
}

// Reason is the cause of a state change.
type Reason string

// The reasons of a Change.
const (
	ReasonErrors    Reason = "error_ratio"
	ReasonSlow      Reason = "slower_than_peers"
	ReasonStuck     Reason = "work_stuck"
	ReasonCrashed   Reason = "crashed"
	ReasonProbe     Reason = "probe_failed"
	ReasonElapsed   Reason = "ejection_over"
	ReasonRecovered Reason = "probes_succeeded"
)

// Change is a change of an endpoint's state, for the log.
type Change struct {
	Endpoint id.Endpoint
	State    State
	Reason   Reason
	// For is how long an ejection lasts.
	For time.Duration
}

// Config sets the thresholds; zero fields mean the defaults.
type Config struct {
	// ErrorRatio is the share of failed outcomes that ejects. Default 0.5.
	ErrorRatio float64
	// MinOutcomes is the decayed count below which error ratio and latency are not
	// evaluated. Default 5.
	MinOutcomes float64
	// HalfLife of the decaying outcome counts. Default 10 s.
	HalfLife time.Duration
	// SlowFactor is the multiple of the peers' median latency that ejects. Default 3.
	SlowFactor float64
	// MinPeers is the number of peers with known latency that a comparison needs.
	// Default 3.
	MinPeers int
	// StuckAfter is how long an endpoint may go without any output while work
	// in flight is overdue. Default 3 s.
	StuckAfter time.Duration
	// MaxEjected is the largest share of a group that may be ejected or probing at
	// once; in a group of two or more, one always may be. Default 0.4.
	MaxEjected float64
	// EjectMin and EjectMax bound the length of an ejection, which doubles each
	// time. Default 5 s and 5 min.
	EjectMin time.Duration
	EjectMax time.Duration
	// EjectionDecay is the time spent healthy that halves the next ejection.
	// Default 1 min.
	EjectionDecay time.Duration
	// ProbeSuccesses is the number of successful probes in a row that end the
	// probing. Default 2.
	ProbeSuccesses int
	// MaxInFlight bounds the work in flight that is tracked for each endpoint.
	// Default 1024.
	MaxInFlight int
}

// Defaults of Config.
const (
	DefaultErrorRatio     = 0.5
	DefaultMinOutcomes    = 5.0
	DefaultHalfLife       = 10 * time.Second
	DefaultSlowFactor     = 3.0
	DefaultMinPeers       = 3
	DefaultStuckAfter     = 3 * time.Second
	DefaultMaxEjected     = 0.4
	DefaultEjectMin       = 5 * time.Second
	DefaultEjectMax       = 5 * time.Minute
	DefaultEjectionDecay  = time.Minute
	DefaultProbeSuccesses = 2
	DefaultMaxInFlight    = 1024
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.ErrorRatio, DefaultErrorRatio)
	defaults.Set(&c.MinOutcomes, DefaultMinOutcomes)
	defaults.Set(&c.HalfLife, DefaultHalfLife)
	defaults.Set(&c.SlowFactor, DefaultSlowFactor)
	defaults.Set(&c.MinPeers, DefaultMinPeers)
	defaults.Set(&c.StuckAfter, DefaultStuckAfter)
	defaults.Set(&c.MaxEjected, DefaultMaxEjected)
	defaults.Set(&c.EjectMin, DefaultEjectMin)
	defaults.Set(&c.EjectMax, DefaultEjectMax)
	defaults.Set(&c.EjectionDecay, DefaultEjectionDecay)
	defaults.Set(&c.ProbeSuccesses, DefaultProbeSuccesses)
	defaults.Set(&c.MaxInFlight, DefaultMaxInFlight)
	return c
}
