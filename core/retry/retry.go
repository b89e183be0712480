// Package retry decides whether a failed attempt is retried. Budgets per team and
// over all teams keep retries a small fraction of the successes, so that retries
// don't amplify an overload. A call that may have run and is not idempotent is
// never retried.
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

// Reason is why a retry is allowed or not.
type Reason string

// Reasons of a Decision.
const (
	ReasonAllowed      Reason = "allowed"
	ReasonMayHaveRun   Reason = "may_have_run"
	ReasonNotRetryable Reason = "not_retryable"
	ReasonAttempts     Reason = "attempts_exhausted"
	ReasonTime         Reason = "remaining_time"
	ReasonTeamBudget   Reason = "team_budget"
	ReasonGlobalBudget Reason = "global_budget"
)

// Decision states whether and when a failed attempt is retried.
type Decision struct {
	// Retry is set if another attempt is allowed.
	Retry bool
	// After is the delay before the next attempt.
	After time.Duration
	// Reason is why the retry is allowed or not.
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
	// Cost is the estimated time that another attempt needs to produce a
	// result.
	Cost time.Duration
	// Idempotent is set if the request may run more than once.
	Idempotent bool
}

// Config holds the limits of a Retrier; zero fields take the defaults.
type Config struct {
	// Ratio of retries to successes that the budgets allow. Default 0.1.
	Ratio float64
	// TeamFloor is the retry rate that each team has without any success, in
	// retries per second, unless SetTeamFloor sets another. Default 5.
	TeamFloor float64
	// GlobalFloor is the retry rate that all teams together have without any
	// success, in retries per second. Default 20.
	GlobalFloor float64
	// Burst is the capacity of a budget, in seconds of its floor. Default 10.
	Burst float64
	// MaxAttempts bounds the attempts of one request. Default 3.
	MaxAttempts int
	// BackoffBase is the upper bound of the first backoff. Default 10 ms.
	BackoffBase time.Duration
	// BackoffMax is the upper bound of every backoff. Default 1 s.
	BackoffMax time.Duration
	// MaxTeams bounds the teams whose budgets are kept. Default 4096.
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

// New returns a Retrier that starts now and draws its jitter from rng.
func New(now time.Duration, cfg Config, rng *rand.Rand) *Retrier {
	cfg = cfg.withDefaults()
	teams, err := simplelru.NewLRU[id.Team, *budget](cfg.MaxTeams, nil)
	if err != nil {
		panic(err) // the validation of settings must reject MaxTeams below 1
	}
	return &Retrier{cfg: cfg, rng: rng, global: newBudget(now, cfg.GlobalFloor, cfg.Burst), teams: teams}
}

// SetTeamFloor sets a team's floor, in retries per second, in place of
// Config.TeamFloor.
func (r *Retrier) SetTeamFloor(now time.Duration, team id.Team, perSecond float64) {
	b := r.team(now, team)
	b.refill(now)
	b.setFloor(perSecond, r.cfg.Burst)
}

// Success adds Config.Ratio of a retry to the team's and the global budget.
func (r *Retrier) Success(now time.Duration, team id.Team) {
	r.global.add(now, r.cfg.Ratio)
	r.team(now, team).add(now, r.cfg.Ratio)
}

// Decide decides whether the failed attempt is followed by another. An allowed
// retry takes a token from both budgets.
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

// checkRules applies the rules that don't depend on the budgets.
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

// retryable reports whether another attempt may succeed after an error with the
// code. All other codes are the caller's fault or are meant to slow callers down.
func retryable(code verdict.Code) bool {
	switch code {
	case verdict.CodeEndpointFailed, verdict.CodeLeaving, verdict.CodeUnavailable, verdict.CodeNoEndpoint:
		return true
	default:
		return false
	}
}

// spend takes a token from both budgets or from none.
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

// backoff is the delay before the next attempt: the error's RetryAfter plus an
// exponential backoff with full jitter.
func (r *Retrier) backoff(f Failure) time.Duration {
	bound := float64(r.cfg.BackoffBase) * math.Pow(2, float64(max(f.Attempt-1, 0)))
	bound = min(bound, float64(r.cfg.BackoffMax))
	return f.Err.RetryAfter + time.Duration(r.rng.Float64()*bound)
}

func (r *Retrier) team(now time.Duration, team id.Team) *budget {
	if b, ok := r.teams.Get(team); ok {
		return b
	}
	b := newBudget(now, r.cfg.TeamFloor, r.cfg.Burst)
	r.teams.Add(team, b)
	return b
}

// Remaining returns the retries left in the team's and in the global budget.
func (r *Retrier) Remaining(now time.Duration, team id.Team) (own, global float64) {
	b := r.team(now, team)
	b.refill(now)
	r.global.refill(now)
	return b.tokens, r.global.tokens
}
