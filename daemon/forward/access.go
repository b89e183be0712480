package forward

import (
	"context"
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// staleRetryAfter is the Retry-After of a daemon whose configuration may be
	// too old: proofs of freshness arrive several times a second, and other
	// daemons may have one.
	staleRetryAfter = 300 * time.Millisecond
	// chargeTimeFraction is the fraction of the remaining time that the daemon
	// that keeps a team's account has to answer.
	chargeTimeFraction = 0.3
)

// authenticate finds the team that a request's key belongs to. On a public
// route the key is ignored.
func (f *Forwarder) authenticate(r *Request, t *trace, routes *route.Table) *verdict.Error {
	t.hasTeams = routes.HasTeams()
	if !t.hasTeams || t.route.Public {
		return nil
	}
	if r.HasKey {
		t.team = routes.Owner(r.Key)
	}
	switch {
	case t.team != nil:
		return f.checkFreshness(t)
	case f.Freshness.Outdated():
		f.Freshness.Refresh()
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the key is not known, and the configuration may be out of date").
			WithRetryAfter(staleRetryAfter)
	case !r.HasKey:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the request has no key of a team")
	default:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key belongs to no team")
	}
}

// checkFreshness refuses a request with a key if the key may have been revoked
// longer ago than is allowed.
func (f *Forwarder) checkFreshness(t *trace) *verdict.Error {
	ok, age := f.Freshness.Fresh()
	t.configAge = age
	if ok {
		return nil
	}
	f.stats.refusedStale.Inc()
	t.reason = "the configuration may be too old"
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "whether the key is still good is not known: the configuration is %s old", age.Round(time.Millisecond)).
		WithRetryAfter(staleRetryAfter)
}

// recheckKey checks a request's key again right before the request is sent to an
// endpoint: the key may have been revoked while the request waited. A request
// that may already have run is not checked again: work that has begun is finished.
func (f *Forwarder) recheckKey(r *Request, t *trace) *verdict.Error {
	if t.team == nil || t.mayHaveRun {
		return nil
	}
	owner := f.View().Routes.Owner(r.Key)
	if owner == nil || owner.Name != t.team.Name {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key was taken away").WithCause(errKeyRejected)
	}
	if err := f.checkFreshness(t); err != nil {
		return err.WithCause(errKeyRejected)
	}
	return nil
}

// errKeyRejected is the cause of refusals because of a request's key: a retry
// at another endpoint would not help.
var errKeyRejected = errors.New("the request's key is not known to be good")

func keyRejected(err *verdict.Error) bool { return errors.Is(err.Cause, errKeyRejected) }

// chargeTeam charges a request to its team.
func (f *Forwarder) chargeTeam(ctx context.Context, r *Request, t *trace) *verdict.Error {
	if t.team == nil || !t.team.Limit.Limited() {
		return nil
	}
	limit := t.team.Limit
	cost := limit.Cost(quota.Size{Known: r.Sized, Prompt: r.PromptTokens, Output: r.OutputTokens})
	patience := time.Duration(chargeTimeFraction * float64(f.timeLeft(r, t.route)))
	if err := f.Payer.Charge(ctx, t.team.Name, limit, cost, patience); err != nil {
		return err
	}
	t.charged = cost
	return nil
}

// refund returns the charge of a request that has not run.
func (f *Forwarder) refund(t *trace, err *verdict.Error) {
	if t.charged > 0 && err != nil && err.Verdict == verdict.NotRun {
		f.Payer.Refund(t.team.Name, t.charged)
	}
}

// teamName is the name of the request's team; empty if it has none.
func (t *trace) teamName() id.Team {
	if t.team == nil {
		return ""
	}
	return t.team.Name
}

// fairShareTeam is the team to which the pools' owners account a request: its
// own, or the name of its route if it has no team.
func (t *trace) fairShareTeam() id.Team {
	if t.team == nil {
		return id.Team(t.route.Name)
	}
	return t.team.Name
}

// urgency is the rank of the request, 0 (most urgent) to highestPriority. The
// team's own priority overrides that of the route.
func (t *trace) urgency() int {
	rank := t.route.Priority
	if t.team != nil && t.team.OwnPriority {
		rank = t.team.Priority
	}
	return min(max(0, rank), highestPriority)
}

// credentials returns the caller's credentials, which are passed to endpoints
// only if the configuration has no teams.
func (t *trace) credentials(r *Request) []Field {
	if t.hasTeams {
		return nil
	}
	return r.Credentials
}
