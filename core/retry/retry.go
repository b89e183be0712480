// Package retry decides whether a failed attempt is repeated. Budgets by team
// and over all teams keep retries a small share of the successes, so that an
// overload does not feed itself; a call that may have run and is not
// idempotent is never repeated.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Reason tells why a retry is allowed or not.
type Reason string

// The reasons of a Decision.
const (
	ReasonAllowed      Reason = "allowed"
	ReasonMayHaveRun   Reason = "may_have_run"
	ReasonNotRetryable Reason = "not_retryable"
	ReasonAttempts     Reason = "attempts_exhausted"
	ReasonTime         Reason = "remaining_time"
	ReasonTeamBudget   Reason = "team_budget"
	ReasonGlobalBudget Reason = "global_budget"
)

// Decision is the answer to a failed attempt.
type Decision struct {
	// Retry says whether to try again.
	Retry bool
	// After is the wait before the next attempt.
	After time.Duration
	// Reason tells why.
	Reason Reason
}

// Failure describes a failed attempt.
type Failure struct {
	Team id.Team
	// Err is the error of the attempt.
	Err *verdict.Error
	// Attempt that failed, counted from 1.
	Attempt int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Cost is the estimated time that another attempt needs until it is of use.
	Cost time.Duration
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
}

// Config sets the bounds; zero fields take the defaults.
type Config struct {
	// Ratio of retries to successes that the budgets allow. Default 0.1.
	Ratio float64
	// TeamFloor is each team's allowance without any success, in retries a
	// second, where none is set by SetTeamFloor. Default 5.
	TeamFloor float64
	// GlobalFloor is the allowance of all teams together, in retries a
	// second. Default 20.
	GlobalFloor float64
	// Burst bounds a saved-up budget, in seconds of its floor. Default 10.
	Burst float64
	// MaxAttempts bounds the attempts of one request. Default 3.
	MaxAttempts int
	// BackoffBase is the mean upper bound of the first wait. Default 10 ms.
	BackoffBase time.Duration
	// BackoffMax bounds every wait. Default 1 s.
	BackoffMax time.Duration
	// MaxTeams bounds the teams that are remembered. Default 4096.
	MaxTeams int
}

// Defaults of Config.
const (
	DefaultRatio       = 0.1
	DefaultTeamFloor   = 5.0
	DefaultGlobalFloor = 20.0
	DefaultBurst       = 10.0
	DefaultMaxAttempts = 3
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffMax  = time.Second
	DefaultMaxTeams    = 4096
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Ratio, DefaultRatio)
	defaults.Set(&c.TeamFloor, DefaultTeamFloor)
	defaults.Set(&c.GlobalFloor, DefaultGlobalFloor)
	defaults.Set(&c.Burst, DefaultBurst)
	defaults.Set(&c.MaxAttempts, DefaultMaxAttempts)
	defaults.Set(&c.BackoffBase, DefaultBackoffBase)
	defaults.Set(&c.BackoffMax, DefaultBackoffMax)
	defaults.Set(&c.MaxTeams, DefaultMaxTeams)
	return c
}

// Retrier decides on retries. It is not safe for concurrent use.
type Retrier struct {
	cfg    Config
	rng    *rand.Rand
	global *budget
	teams  *simplelru.LRU[id.Team, *budget]
}

// New returns a Retrier that draws its jitter from rng.
func New(cfg Config, rng *rand.Rand) *Retrier {
	cfg = cfg.withDefaults()
	teams, err := simplelru.NewLRU[id.Team, *budget](cfg.MaxTeams, nil)
	if err != nil {
		panic(err) // MaxTeams below 1 is a fault of the settings' check
	}
	return &Retrier{cfg: cfg, rng: rng, global: newBudget(cfg.GlobalFloor, cfg.Burst), teams: teams}
}

// SetTeamFloor sets a team's allowance, in retries a second. Without it the
// team has Config.TeamFloor.
func (r *Retrier) SetTeamFloor(now time.Duration, team id.Team, perSecond float64) {
	b := r.team(now, team)
	b.refill(now)
	b.setFloor(perSecond, r.cfg.Burst)
}

// Success earns a share of a retry for the team and for all.
func (r *Retrier) Success(now time.Duration, team id.Team) {
	r.global.add(now, r.cfg.Ratio)
	r.team(now, team).add(now, r.cfg.Ratio)
}

// Decide says whether the failed attempt is followed by another. An allowed
// retry is paid from both budgets.
func (r *Retrier) Decide(now time.Duration, f Failure) Decision {
	if reason := r.checkRules(f); reason != ReasonAllowed {
		return Decision{Reason: reason}
	}
	after := r.backoff(f)
	if after+f.Cost > f.Remaining {
		return Decision{Reason: ReasonTime}
	}
	if reason := r.spend(now, f.Team); reason != ReasonAllowed {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, After: after, Reason: ReasonAllowed}
}

// forbidden applies the rules that no budget can lift.
func (r *Retrier) checkRules(f Failure) Reason {
	switch {
	case f.Err == nil || f.Err.Verdict == verdict.Ran:
		return ReasonNotRetryable
	case f.Err.Verdict != verdict.NotRun && !f.Idempotent:
		return ReasonMayHaveRun
	case !retryable(f.Err.Code):
		return ReasonNotRetryable
	case f.Attempt >= r.cfg.MaxAttempts:
		return ReasonAttempts
	default:
		return ReasonAllowed
	}
}

// retryable lists the causes that another attempt may cure. All others are the
// caller's fault or are meant to slow callers down.
func retryable(code verdict.Code) bool {
	switch code {
	case verdict.CodeEndpointFailed, verdict.CodeLeaving, verdict.CodeUnavailable, verdict.CodeNoEndpoint:
		return true
	default:
		return false
	}
}

// pay takes a retry from both budgets or from none.
func (r *Retrier) spend(now time.Duration, team id.Team) Reason {
	own := r.team(now, team)
	if !own.available(now) {
		return ReasonTeamBudget
	}
	if !r.global.available(now) {
		return ReasonGlobalBudget
	}
	own.tokens--
	r.global.tokens--
	return ReasonAllowed
}

// wait draws a full-jitter exponential backoff, at least what the error asks for.
func (r *Retrier) backoff(f Failure) time.Duration {
	bound := float64(r.cfg.BackoffBase) * math.Pow(2, float64(max(f.Attempt-1, 0)))
	bound = min(bound, float64(r.cfg.BackoffMax))
	return f.Err.RetryAfter + time.Duration(r.rng.Float64()*bound)
}

func (r *Retrier) team(now time.Duration, team id.Team) *budget {
	if b, ok := r.teams.Get(team); ok {
		return b
	}
	b := newBudget(r.cfg.TeamFloor, r.cfg.Burst)
	b.refilledAt = now
	r.teams.Add(team, b)
	return b
}

// Remaining returns the retries that the team and all teams could make now.
func (r *Retrier) Remaining(now time.Duration, team id.Team) (own, global float64) {
	b := r.team(now, team)
	b.refill(now)
	r.global.refill(now)
	return b.tokens, r.global.tokens
}
