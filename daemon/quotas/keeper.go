package quotas

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// mostAnswered is how many answers the keeper remembers: those of a second and
// more, within which a question may come again.
const maxAnswered = 2048

// reply answers another daemon; a lost answer is asked for again.
func (q *Quotas) reply(to id.Daemon, e *Envelope) {
	if err := q.cfg.Send(to, e); err != nil {
		q.cfg.Log("quota_answer_lost", "peer", to, "why", err)
	}
}

// charge fills in what the ledger must know; ok is false for a team without a
// limit.
func (q *Quotas) newCharge(now time.Duration, team id.Team, cost float64, known *quota.Limit) (c quota.Charge, ok bool) {
	q.refreshFleet(now)
	limit, found := q.cfg.Limit(team)
	if !found && known != nil {
		limit = *known
	}
	return quota.Charge{Team: team, Limit: limit, Cost: cost, Share: q.share}, limit.Limited()
}

// question names one question of one daemon.
type requestKey struct {
	from id.Daemon
	seq  uint64
}

// decideOnce answers a question. One that comes again, since its answer was late
// or lost, is not charged again.
func (q *Quotas) decideOnce(now time.Duration, from id.Daemon, a *ChargeRequest) *ChargeReply {
	asked := requestKey{from: from, seq: a.Seq}
	if before, known := q.answered.Get(asked); known {
		return before
	}
	r := q.decide(now, a)
	q.answered.Add(asked, r)
	return r
}

// decide answers a question, as the keeper.
func (q *Quotas) decide(now time.Duration, a *ChargeRequest) *ChargeReply {
	c, limited := q.newCharge(now, a.Team, a.Cost, &a.Limit)
	if !limited {
		return &ChargeReply{Seq: a.Seq, Granted: true}
	}
	granted, refused := q.ledger.Take(now, c)
	balance, _ := q.ledger.Balance(a.Team)
	return &ChargeReply{Seq: a.Seq, Granted: granted, Wait: refused.Wait, RetryAfter: refused.Back, Balance: balance}
}

// owe takes what was spent ahead, as the keeper, and tells who is in debt.
func (q *Quotas) chargeDebts(now time.Duration, s *Settlement) *DebtNotice {
	shut := &DebtNotice{}
	for _, d := range s.Debts {
		c, limited := q.newCharge(now, d.Team, d.Cost, nil)
		if !limited {
			continue
		}
		if wait := q.ledger.Owe(now, c); wait > 0 {
			shut.Teams = append(shut.Teams, IndebtedTeam{Team: d.Team, Wait: wait})
		}
	}
	return shut
}

// giveBack takes back what was granted for nothing, as the keeper.
func (q *Quotas) refund(now time.Duration, r *Refund) {
	if c, limited := q.newCharge(now, r.Team, r.Cost, nil); limited {
		q.ledger.Return(now, c)
	}
}
