// Package health detects grey failures: endpoints that take work and are slow
// or fail, also those that answer health checks but not work. It learns from
// the outcomes of real work only, ejects an endpoint for a while and lets it
// back by single probes. See docs/design/grey-failures.md.
package health

import (
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Member is an endpoint with the group in which it is compared and ejected.
type Member struct {
	Endpoint id.Endpoint
	Pool     id.Pool
	Role     live.Role
}

// OutcomeKind is how a piece of work ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OK: it ended as it should.
	OK OutcomeKind = iota + 1
	// Failed: the endpoint answered with an error that is its own fault.
	Failed
	// TimedOut: no answer came in time.
	TimedOut
	// Crashed: the endpoint's incarnation ended.
	Crashed
	// Withdrawn: the work ended for another reason and tells nothing.
	Withdrawn
)

// Result is the outcome of one piece of work.
type Result struct {
	Request id.Request
	Kind    OutcomeKind
	// Latency is comparable among the members of a group whatever the size of
	// the work is: time for each prompt token, or for each output token. Zero
	// if unknown.
	Latency time.Duration
}

// State is the state of an endpoint.
type State uint8

// The states of an endpoint.
const (
	// Healthy endpoints take work.
	Healthy State = iota + 1
	// Ejected ones take none until the ejection ends.
	Ejected
	// Probing ones take one request at a time.
	Probing
)

// String names the state for logs.
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

// Reason tells why a state changed.
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

// Config sets the bounds; zero fields take the defaults.
type Config struct {
	// ErrorRatio that ejects. Default 0.5.
	ErrorRatio float64
	// MinOutcomes is the decayed count below which no ratio is judged. Default 5.
	MinOutcomes float64
	// HalfLife of the counts. Default 10 s.
	HalfLife time.Duration
	// SlowFactor times the median of the peers ejects. Default 3.
	SlowFactor float64
	// MinPeers with known latency, for a comparison. Default 3.
	MinPeers int
	// StuckAfter is how long an endpoint may go without any output while work
	// in flight is overdue. Default 3 s.
	StuckAfter time.Duration
	// MaxEjected is the largest share of a group that is ejected at once; one
	// endpoint of two or more always may be. Default 0.4.
	MaxEjected float64
	// EjectMin and EjectMax bound an ejection; it doubles. Default 5 s and 5 min.
	EjectMin time.Duration
	EjectMax time.Duration
	// ForgetAfter is the time in health that halves the next ejection. Default 1 min.
	EjectionDecay time.Duration
	// ProbeSuccesses in a row that end the probing. Default 2.
	ProbeSuccesses int
	// MaxInFlight bounds the work remembered for each endpoint. Default 1024.
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
