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
	// silentRetryAfter is advised where the keeper does not answer.
	keeperRetryAfter = 200 * time.Millisecond
	// leastSpread is the shortest spread of callers who are told to come back.
	minRetrySpread = 100 * time.Millisecond
)

// Pay charges a request to its team, or refuses it. patience bounds the wait for
// the keeper.
func (q *Quotas) Pay(ctx context.Context, team id.Team, limit quota.Limit, cost float64, patience time.Duration) *verdict.Error {
	answers := make(chan ChargeReply, 1)
	a := &pendingCharge{ask: ChargeRequest{Seq: q.seq.Add(1), Team: team, Limit: limit, Cost: cost}, answer: answers}
	if !q.duty.PostContext(ctx, func(now time.Duration) { q.startCharge(now, a) }) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon takes no requests now")
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r := <-answers:
		return q.verdict(team, r)
	case <-ctx.Done():
		q.dropPending(a)
		return verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller is gone").WithCause(context.Cause(ctx))
	case <-timer.C:
	case <-q.duty.Context().Done():
	}
	q.dropPending(a)
	return q.accountUnknown(team)
}

// notKnown refuses a request whose team's account can't be asked about.
func (q *Quotas) accountUnknown(team id.Team) *verdict.Error {
	q.unanswered.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "what team %s may still have run is not known", team).
		WithRetryAfter(keeperRetryAfter)
}

// begin pays for a request ahead, or asks the keeper.
func (q *Quotas) startCharge(now time.Duration, a *pendingCharge) {
	q.refreshFleet(now)
	answer, wait := q.purse.Spend(now, a.ask.Team, a.ask.Cost)
	switch {
	case answer == quota.Paid:
		q.scheduleSettlement(now)
		a.answer <- ChargeReply{Granted: true}
	case answer == quota.Refused:
		a.answer <- ChargeReply{RetryAfter: wait, keeper: q.keeper, repeated: true}
	case len(q.pending) >= maxPending:
		a.answer <- ChargeReply{overloaded: true}
	default:
		q.pending[a.ask.Seq] = a
		q.sendRequest(now, a)
	}
}

// settleSoon has what was paid ahead settled in a while.
func (q *Quotas) scheduleSettlement(now time.Duration) {
	if !q.hasDebts {
		q.hasDebts = true
		q.settleAt = now + settleEvery
	}
}

// forget drops a question whose answer nobody waits for. What the keeper may
// have granted stays charged: it is not known.
func (q *Quotas) dropPending(a *pendingCharge) {
	q.duty.PostLater(func(time.Duration) { delete(q.pending, a.ask.Seq) })
}

// verdict is what the keeper's word means for a request.
func (q *Quotas) verdict(team id.Team, r ChargeReply) *verdict.Error {
	switch {
	case r.Granted:
		return nil
	case r.overloaded:
		return q.accountUnknown(team)
	}
	q.refusals.Inc()
	after := r.RetryAfter
	if r.repeated {
		// Others here are told the same.
		after += time.Duration(rand.Int64N(int64(max(r.RetryAfter, minRetrySpread))))
	}
	return verdict.New(verdict.NotRun, verdict.CodeTeamLimit, "team %s is at its limit", team).
		WithRetryAfter(after).WithCause(r.cause())
}

// Return gives back what was paid for a request that has not run.
func (q *Quotas) Return(team id.Team, cost float64) {
	q.duty.PostLater(func(now time.Duration) {
		if q.purse.Return(team, cost) {
			return
		}
		back := &Refund{Team: team, Cost: cost}
		switch q.keeper {
		case "":
		case q.cfg.Self:
			q.refund(now, back)
		default:
			if err := q.cfg.Send(q.keeper, &Envelope{Refund: back}); err != nil {
				q.cfg.Log("quota_not_returned", "keeper", q.keeper, "team", team, "why", err)
			}
		}
	})
}

// why tells on-call engineers who refused, and by what.
func (r *ChargeReply) cause() error {
	if r.repeated {
		return eris.Errorf("%s, which keeps its account, said so a moment ago", r.keeper)
	}
	return eris.Errorf("its account at %s holds %.0f", r.keeper, r.Balance)
}
