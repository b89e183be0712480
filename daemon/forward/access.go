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
	// staleRetryAfter is advised by a daemon whose configuration may be too old:
	// proofs come several times a second, and other daemons may have one.
	staleRetryAfter = 300 * time.Millisecond
	// payShare of the time that is left may pass until the keeper of a team's
	// account has answered.
	chargeTimeFraction = 0.3
)

// authenticate finds the team that a request's key belongs to. On a public route
// a key says nothing.
func (f *Forwarder) authenticate(r *Request, t *trace, routes *route.Table) *verdict.Error {
	t.hasTeams = routes.Walled()
	if !t.hasTeams || t.route.Public {
		return nil
	}
	if r.HasKey {
		t.team = routes.Owner(r.Key)
	}
	switch {
	case t.team != nil:
		return f.checkFreshness(t)
	case f.Freshness.Behind():
		f.Freshness.Refresh()
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the key is not known, and the configuration may be out of date").
			WithRetryAfter(staleRetryAfter)
	case !r.HasKey:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the request has no key of a team")
	default:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key belongs to no team")
	}
}

// fresh refuses a request with a key while the key may have been revoked longer
// ago than is allowed.
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

// stillAllowed looks at a request's key again right before the request goes to an
// endpoint: it may have waited while the key was revoked. Work that has begun is
// finished.
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

// errNotAllowed is the cause of refusals for a request's key: other endpoints
// would make no difference.
var errKeyRejected = errors.New("the request's key is not known to be good")

func keyRejected(err *verdict.Error) bool { return errors.Is(err.Cause, errKeyRejected) }

// pay charges a request to its team.
func (f *Forwarder) chargeTeam(ctx context.Context, r *Request, t *trace) *verdict.Error {
	if t.team == nil || !t.team.Limit.Limited() {
		return nil
	}
	limit := t.team.Limit
	cost := limit.Cost(quota.Size{Known: r.Sized, Prompt: r.PromptTokens, Output: r.OutputTokens})
	patience := time.Duration(chargeTimeFraction * float64(f.timeLeft(r, t.route)))
	if err := f.Payer.Pay(ctx, t.team.Name, limit, cost, patience); err != nil {
		return err
	}
	t.charged = cost
	return nil
}

// refund gives back what a request has paid that has not run.
func (f *Forwarder) refund(t *trace, err *verdict.Error) {
	if t.charged > 0 && err != nil && err.Verdict == verdict.NotRun {
		f.Payer.Return(t.team.Name, t.charged)
	}
}

// teamName is the name of the request's team; empty without one.
func (t *trace) teamName() id.Team {
	if t.team == nil {
		return ""
	}
	return t.team.Name
}

// share is whom the pools' owners count a request for: its team, or its route
// where there are no teams.
func (t *trace) fairShareTeam() id.Team {
	if t.team == nil {
		return id.Team(t.route.Name)
	}
	return t.team.Name
}

// urgency is the rank of the request, 0 (first) to highestPriority: a team's own
// goes before that of the route.
func (t *trace) urgency() int {
	rank := t.route.Priority
	if t.team != nil && t.team.OwnPriority {
		rank = t.team.Priority
	}
	return min(max(0, rank), highestPriority)
}

// credentials of the caller are an endpoint's only where there are no teams.
func (t *trace) credentials(r *Request) []Field {
	if t.hasTeams {
		return nil
	}
	return r.Credentials
}
