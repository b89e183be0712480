package quotas

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// maxAnswered is the number of replies that the keeper caches. It covers the replies of
// more than a second; a repeated request arrives within that time.
const maxAnswered = 2048

// reply sends a reply to another daemon. The requester repeats its request if the
// reply is lost.
func (q *Quotas) reply(to id.Daemon, e *Envelope) {
	if err := q.cfg.Send(to, e); err != nil {
		q.cfg.Log("quota_answer_lost", "peer", to, "why", err)
	}
}

// newCharge returns a charge for the ledger; ok is false for a team without a limit.
// known is the requester's limit, for a team that is not in the configuration here.
func (q *Quotas) newCharge(now time.Duration, team id.Team, cost float64, known *quota.Limit) (c quota.Charge, ok bool) {
	q.refreshFleet(now)
	limit, found := q.cfg.Limit(team)
	if !found && known != nil {
		limit = *known
	}
	return quota.Charge{Team: team, Limit: limit, Cost: cost, Share: q.share}, limit.Limited()
}

// requestKey identifies a ChargeRequest over all daemons.
type requestKey struct {
	from id.Daemon
	seq  uint64
}

// decideOnce replies to a request. A request that is repeated, since its reply was
// late or lost, is not charged again.
func (q *Quotas) decideOnce(now time.Duration, from id.Daemon, req *ChargeRequest) *ChargeReply {
	key := requestKey{from: from, seq: req.Seq}
	if cached, known := q.answered.Get(key); known {
		return cached
	}
	r := q.decide(now, req)
	q.answered.Add(key, r)
	return r
}

// decide decides about a request, as the keeper.
func (q *Quotas) decide(now time.Duration, req *ChargeRequest) *ChargeReply {
	c, limited := q.newCharge(now, req.Team, req.Cost, &req.Limit)
	if !limited {
		return &ChargeReply{Seq: req.Seq, Granted: true}
	}
	granted, refused := q.ledger.TryCharge(now, c)
	balance, _ := q.ledger.Balance(req.Team)
	return &ChargeReply{Seq: req.Seq, Granted: granted, Wait: refused.Wait, RetryAfter: refused.RetryAfter, Balance: balance}
}

// chargeDebts charges what a daemon spent in advance, as the keeper, and returns the
// teams that are in debt.
func (q *Quotas) chargeDebts(now time.Duration, s *Settlement) *DebtNotice {
	notice := &DebtNotice{}
	for _, d := range s.Debts {
		c, limited := q.newCharge(now, d.Team, d.Cost, nil)
		if !limited {
			continue
		}
		if wait := q.ledger.ChargeSpent(now, c); wait > 0 {
			notice.Teams = append(notice.Teams, IndebtedTeam{Team: d.Team, Wait: wait})
		}
	}
	return notice
}

// refund credits what was granted for a request that has not run, as the keeper.
func (q *Quotas) refund(now time.Duration, r *Refund) {
	if c, limited := q.newCharge(now, r.Team, r.Cost, nil); limited {
		q.ledger.Refund(now, c)
	}
}
