package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// LocalBudget holds the costs that one daemon granted in advance, before the keeper
// has charged them.
type LocalBudget struct {
	budgets map[id.Team]*teamBudget
	// maxDebt bounds what each team may spend here before the keeper has charged
	// it, in units.
	maxDebt float64
}

// teamBudget is one team's part of a LocalBudget.
type teamBudget struct {
	// debt was spent and is not yet reported to the keeper.
	debt float64
	// refuseUntil is until when requests are refused here, askUntil until when each
	// request asks the keeper first.
	refuseUntil, askUntil time.Duration
	// retryAt is when refused requests should be retried.
	retryAt time.Duration
	// lastUsed is when the team last sent a request here.
	lastUsed time.Duration
}

const (
	// askPeriod is how long after a refusal each request asks the keeper first.
	askPeriod = 2 * time.Second
	// maxRefusePeriod bounds how long a daemon refuses requests without asking the
	// keeper again: the limit may be raised meanwhile.
	maxRefusePeriod = time.Second
	// budgetIdleTimeout is after how long an unused teamBudget is removed.
	budgetIdleTimeout = time.Minute
)

// NewLocalBudget returns a LocalBudget without debts.
func NewLocalBudget() *LocalBudget { return &LocalBudget{budgets: map[id.Team]*teamBudget{}} }

// SetMaxDebt sets how much each team may spend before the keeper has charged it, in
// units.
func (b *LocalBudget) SetMaxDebt(units float64) { b.maxDebt = units }

// Decision is the result of Spend.
type Decision uint8

// The decisions.
const (
	// Granted: the request may be sent; its cost is part of the debt.
	Granted Decision = iota + 1
	// AskKeeper: the keeper has to decide.
	AskKeeper
	// Refused: the team is at its limit, by the keeper's last reply.
	Refused
)

// Spend grants a request if the team's debt stays within the bound. wait is the
// delay before a retry; it is set with Refused only.
func (b *LocalBudget) Spend(now time.Duration, team id.Team, cost float64) (d Decision, wait time.Duration) {
	k := b.budget(now, team)
	switch {
	case now < k.refuseUntil:
		return Refused, max(k.retryAt, k.refuseUntil) - now
	case now < k.askUntil || k.debt+cost > b.maxDebt:
		return AskKeeper, 0
	}
	k.debt += cost
	return Granted, 0
}

// RefuseFor records that the keeper refused a request of the team, whose requests
// are then refused here too for r.Wait, at most maxRefusePeriod.
func (b *LocalBudget) RefuseFor(now time.Duration, team id.Team, r Refusal) {
	k := b.budget(now, team)
	k.refuseUntil = now + min(r.Wait, maxRefusePeriod)
	k.retryAt = now + r.RetryAfter
	k.askUntil = k.refuseUntil + askPeriod
}

// ClearRefusals discards all refusals: another keeper, or another limit, may grant
// more.
func (b *LocalBudget) ClearRefusals() {
	for _, k := range b.budgets {
		k.refuseUntil = 0
	}
}

// Refund removes the cost of a request that has not run from the team's debt; false
// if the cost was already reported to the keeper.
func (b *LocalBudget) Refund(team id.Team, cost float64) bool {
	k := b.budgets[team]
	if k == nil || k.debt < cost {
		return false
	}
	k.debt -= cost
	return true
}

// Debt is what a team has spent in advance.
type Debt struct {
	Team id.Team `cbor:"1,keyasint"`
	Cost float64 `cbor:"2,keyasint"`
}

// Settle resets the debts and returns them by team, for the keeper to charge.
func (b *LocalBudget) Settle(now time.Duration) []Debt {
	var out []Debt
	for team, k := range b.budgets {
		if k.debt > 0 {
			out = append(out, Debt{Team: team, Cost: k.debt})
			k.debt = 0
		}
	}
	maps.DeleteFunc(b.budgets, func(_ id.Team, k *teamBudget) bool { return k.debt == 0 && now-k.lastUsed >= budgetIdleTimeout })
	slices.SortFunc(out, func(a, b Debt) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

func (b *LocalBudget) budget(now time.Duration, team id.Team) *teamBudget {
	k := b.budgets[team]
	if k == nil {
		k = &teamBudget{}
		b.budgets[team] = k
	}
	k.lastUsed = now
	return k
}
