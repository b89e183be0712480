// Package load is the load generator: seeded open-loop arrivals of several
// teams with realistic prompts, callers that follow the entry answer and
// resume broken streams, and an account of every answer: whole, lost, doubled
// or wrong, with its time to first token and its pace.
package load

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Expect gives the answer that a model service must give to a prompt, as one
// text. The stand-in engines answer by such a function.
type Expect func(model, prompt string, maxTokens int) string

// Behaviour is how the callers of a team act.
type Behaviour string

// The behaviours of a team's callers.
const (
	// BehaviourNormal waits for the answer and honours Retry-After.
	BehaviourNormal Behaviour = "normal"
	// BehaviourFlood arrives at FloodFactor times the team's share.
	BehaviourFlood Behaviour = "flood"
	// BehaviourCancel hangs up shortly after sending.
	BehaviourCancel Behaviour = "cancel"
	// BehaviourRetry sends a refused request again at once, for its whole patience.
	BehaviourRetry Behaviour = "retry"
)

// FloodFactor multiplies the arrivals of a team that floods.
const FloodFactor = 10

// Team is one team that sends load.
type Team struct {
	// Name of the team, for the account.
	Name string
	// Key is the team's bearer key.
	Key string
	// Weight is the team's share of the rate. Default 1.
	Weight float64
	// Behaviour of the team's callers. Default BehaviourNormal.
	Behaviour Behaviour
	// Profile of the team's requests.
	Profile Profile
}

// Burst raises the rate for a while, again and again.
type Burst struct {
	// Every is the time between the starts of two bursts; zero for none.
	Every time.Duration
	// Length of a burst.
	Length time.Duration
	// Factor multiplies the rate within a burst.
	Factor float64
}

// Spec describes one run of load.
type Spec struct {
	// Entry lists host:port addresses that are asked for the entry answer.
	Entry []string
	// Teams that send.
	Teams []Team
	// Rate is the sum of all arrivals, in requests a second, before floods
	// and bursts.
	Rate float64
	// Duration is how long requests arrive. Ignored if Requests is set.
	Duration time.Duration
	// Requests, if positive, ends the run after so many arrivals.
	Requests int
	// Warmup leaves out of the account the requests that arrive before it.
	Warmup time.Duration
	// Seed makes arrivals, prompts and choices reproducible.
	Seed uint64
	// Burst raises the rate at times.
	Burst Burst
	// FirstTokenTarget and PaceTarget decide what counts as goodput.
	FirstTokenTarget time.Duration
	PaceTarget       time.Duration
	// MaxAttempts bounds how often a caller sends one request. Default 6.
	MaxAttempts int
	// Patience bounds how long a caller waits for its whole answer. Default 30 s.
	Patience time.Duration
	// Expect checks the answers; nil checks completeness only.
	Expect Expect
	// PlainRuns, if set, tells at the end of the run how often the plain
	// services ran each idempotency key.
	PlainRuns func() map[string]int
	// OnDone is called after each request; it may be nil.
	OnDone func()
}

// Defaults of a Spec.
const (
	DefaultFirstTokenTarget = 360 * time.Millisecond
	DefaultPaceTarget       = 50 * time.Millisecond
	DefaultMaxAttempts      = 6
	DefaultPatience         = 30 * time.Second
)

// withDefaults fills in what was left out.
func (s Spec) withDefaults() Spec {
	if s.FirstTokenTarget == 0 {
		s.FirstTokenTarget = DefaultFirstTokenTarget
	}
	if s.PaceTarget == 0 {
		s.PaceTarget = DefaultPaceTarget
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = DefaultMaxAttempts
	}
	if s.Patience == 0 {
		s.Patience = DefaultPatience
	}
	teams := make([]Team, len(s.Teams))
	copy(teams, s.Teams)
	for i := range teams {
		teams[i] = teams[i].withDefaults()
	}
	s.Teams = teams
	return s
}

func (t Team) withDefaults() Team {
	if t.Weight == 0 {
		t.Weight = 1
	}
	if t.Behaviour == "" {
		t.Behaviour = BehaviourNormal
	}
	return t
}

// Validate says what is wrong with a Spec and where.
func (s Spec) Validate() error {
	if len(s.Entry) == 0 {
		return eris.New("load: no entry address")
	}
	if len(s.Teams) == 0 {
		return eris.New("load: no team")
	}
	if s.Rate <= 0 {
		return eris.Errorf("load: rate %v: must be above 0", s.Rate)
	}
	if s.Duration <= 0 && s.Requests <= 0 {
		return eris.New("load: neither a duration nor a number of requests")
	}
	for _, t := range s.Teams {
		if err := t.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (t Team) validate() error {
	switch t.Behaviour {
	case "", BehaviourNormal, BehaviourFlood, BehaviourCancel, BehaviourRetry:
	default:
		return eris.Errorf("load: team %s: unknown behaviour %q", t.Name, t.Behaviour)
	}
	if t.Weight < 0 {
		return eris.Errorf("load: team %s: weight %v: must not be negative", t.Name, t.Weight)
	}
	if err := t.Profile.validate(); err != nil {
		return fmt.Errorf("load: team %s: %w", t.Name, err)
	}
	return nil
}
