// Package load is the load generator. It draws seeded open-loop arrivals of
// several teams with realistic prompts, sends them through callers that follow
// the entry answer and resume interrupted streams, and classifies every answer
// as whole, lost, doubled or wrong. It measures the time to first token and the
// pace, which is the time between tokens.
package load

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Expect returns the whole text of the answer that a model service must give to
// a prompt. The stand-in engines compute their answers with such a function.
type Expect func(model, prompt string, maxTokens int) string

// Behaviour selects how the callers of a team behave.
type Behaviour string

// The behaviours of a team's callers.
const (
	// BehaviourNormal waits for the answer and honours Retry-After.
	BehaviourNormal Behaviour = "normal"
	// BehaviourFlood sends at FloodFactor times the team's share of the rate.
	BehaviourFlood Behaviour = "flood"
	// BehaviourCancel cancels each request shortly after sending it.
	BehaviourCancel Behaviour = "cancel"
	// BehaviourRetry ignores Retry-After: it retries a request after every error,
	// with only a short delay, until Timeout expires.
	BehaviourRetry Behaviour = "retry"
)

// FloodFactor multiplies the arrival rate of a team with BehaviourFlood.
const FloodFactor = 10

// Team is one team that sends requests.
type Team struct {
	// Name identifies the team in the result.
	Name string
	// Key is the team's bearer key.
	Key string
	// Weight is the team's relative share of the rate. Default 1.
	Weight float64
	// Behaviour selects how the team's callers behave. Default BehaviourNormal.
	Behaviour Behaviour
	// Profile describes the team's requests.
	Profile Profile
}

// Burst describes periodic bursts of a higher rate.
type Burst struct {
	// Every is the time from the start of one burst to the start of the next;
	// zero for no bursts.
	Every time.Duration
	// Length is the duration of a burst.
	Length time.Duration
	// Factor multiplies the rate within a burst.
	Factor float64
}

// Spec describes one run of load.
type Spec struct {
	// Entry lists the host:port addresses from which the entry answer is fetched.
	Entry []string
	// Teams are the teams that send requests.
	Teams []Team
	// Rate is the total arrival rate of all teams in requests per second, without
	// the factors of floods and bursts.
	Rate float64
	// Duration is how long requests arrive. It is ignored if Requests is set.
	Duration time.Duration
	// Requests, if positive, ends the run after this number of arrivals.
	Requests int
	// Warmup excludes the requests that arrive before this time from the result;
	// their faults still count.
	Warmup time.Duration
	// Seed makes arrivals, prompts and random choices reproducible.
	Seed uint64
	// Burst describes periodic bursts.
	Burst Burst
	// FirstTokenTarget and PaceTarget are the latency targets that a completion
	// must meet to count as goodput. Defaults 360 ms and 50 ms.
	FirstTokenTarget time.Duration
	PaceTarget       time.Duration
	// MaxAttempts bounds the attempts of one request. Default 6. BehaviourRetry
	// ignores it.
	MaxAttempts int
	// Timeout is the timeout for the whole answer, over all attempts. Default 30 s.
	Timeout time.Duration
	// Expect returns the expected answers; if nil, only completeness is checked.
	Expect Expect
	// PlainRuns, if set, is called at the end of the run and returns how often the
	// plain services ran each idempotency key.
	PlainRuns func() map[string]int
	// OnDone is called after each request; it may be nil.
	OnDone func()
}

// Defaults of a Spec.
const (
	DefaultFirstTokenTarget = 360 * time.Millisecond
	DefaultPaceTarget       = 50 * time.Millisecond
	DefaultMaxAttempts      = 6
	DefaultTimeout          = 30 * time.Second
)

// withDefaults returns a copy with the defaults of unset fields filled in.
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
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
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

// Validate returns an error that names the first invalid field of a Spec.
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
