package quotas

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// keeperRetryAfter is advised to callers when the keeper does not reply.
	keeperRetryAfter = 200 * time.Millisecond
	// minRetrySpread is the minimum range of the random delay that spreads the
	// retries of callers that are refused with the same reply.
	minRetrySpread = 100 * time.Millisecond
)

// Charge charges a request to its team, or refuses it. cost is in the limit's units.
// patience bounds the wait for the keeper.
func (q *Quotas) Charge(ctx context.Context, team id.Team, limit quota.Limit, cost float64, patience time.Duration) *verdict.Error {
	answers := make(chan ChargeReply, 1)
	p := &pendingCharge{request: ChargeRequest{Seq: q.seq.Add(1), Team: team, Limit: limit, Cost: cost}, answer: answers}
	if !q.duty.PostContext(ctx, func(now time.Duration) { q.startCharge(now, p) }) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon takes no requests now")
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r := <-answers:
		return q.verdict(team, r)
	case <-ctx.Done():
		q.dropPending(p)
		return verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller is gone").WithCause(context.Cause(ctx))
	case <-timer.C:
	case <-q.duty.Context().Done():
	}
	q.dropPending(p)
	return q.accountUnknown(team)
}

// accountUnknown returns the refusal of a request whose team's account can't be
// queried.
func (q *Quotas) accountUnknown(team id.Team) *verdict.Error {
	q.unanswered.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "what team %s may still have run is not known", team).
		WithRetryAfter(keeperRetryAfter)
}

// startCharge charges a request in advance, or sends it to the keeper.
func (q *Quotas) startCharge(now time.Duration, p *pendingCharge) {
	q.refreshFleet(now)
	answer, wait := q.budget.Spend(now, p.request.Team, p.request.Cost)
	switch {
	case answer == quota.Granted:
		q.scheduleSettlement(now)
		p.answer <- ChargeReply{Granted: true}
	case answer == quota.Refused:
		p.answer <- ChargeReply{RetryAfter: wait, keeper: q.keeper, repeated: true}
	case len(q.pending) >= maxPending:
		p.answer <- ChargeReply{overloaded: true}
	default:
		q.pending[p.request.Seq] = p
		q.sendRequest(now, p)
	}
}

// scheduleSettlement schedules the settlement of what was spent in advance.
func (q *Quotas) scheduleSettlement(now time.Duration) {
	if !q.hasDebts {
		q.hasDebts = true
		q.settleAt = now + settleEvery
	}
}

// dropPending drops a request whose reply is no longer awaited. If the keeper grants
// it, it stays charged, since this daemon does not learn about the grant.
func (q *Quotas) dropPending(p *pendingCharge) {
	q.duty.PostLater(func(time.Duration) { delete(q.pending, p.request.Seq) })
}

// verdict converts the keeper's reply to the result of a request.
func (q *Quotas) verdict(team id.Team, r ChargeReply) *verdict.Error {
	switch {
	case r.Granted:
		return nil
	case r.overloaded:
		return q.accountUnknown(team)
	}
	q.refusals.Inc()
	retryAfter := r.RetryAfter
	if r.repeated {
		// Other callers of this daemon get the same reply: spread their retries.
		retryAfter += time.Duration(rand.Int64N(int64(max(r.RetryAfter, minRetrySpread))))
	}
	return verdict.New(verdict.NotRun, verdict.CodeTeamLimit, "team %s is at its limit", team).
		WithRetryAfter(retryAfter).WithCause(r.cause())
}

// Refund credits the charge of a request that has not run.
func (q *Quotas) Refund(team id.Team, cost float64) {
	q.duty.PostLater(func(now time.Duration) {
		if q.budget.Refund(team, cost) {
			return
		}
		credit := &Refund{Team: team, Cost: cost}
		switch q.keeper {
		case "":
		case q.cfg.Self:
			q.refund(now, credit)
		default:
			if err := q.cfg.Send(q.keeper, &Envelope{Refund: credit}); err != nil {
				q.cfg.Log("quota_not_returned", "keeper", q.keeper, "team", team, "why", err)
			}
		}
	})
}

// cause describes for operators which keeper refused, and on which grounds.
func (r *ChargeReply) cause() error {
	if r.repeated {
		return eris.Errorf("%s, which keeps its account, said so a moment ago", r.keeper)
	}
	return eris.Errorf("its account at %s holds %.0f", r.keeper, r.Balance)
}
