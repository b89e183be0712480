package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Purse is what one daemon spends ahead of the keeper's word.
type Purse struct {
	budgets map[id.Team]*teamBudget
	// ahead bounds what each team may spend here before the keeper knows of it,
	// in units.
	maxDebt float64
}

// pocket is one team's part of the purse.
type teamBudget struct {
	// debt was spent and not told to the keeper yet.
	debt float64
	// shutUntil is until when the keeper has nothing to grant, tightUntil until
	// when each request asks it first.
	refuseUntil, askUntil time.Duration
	// backAt is when those that are refused should come back.
	retryAt time.Duration
	// used is when the team last had a request here.
	lastUsed time.Duration
}

const (
	// tightFor is how long after a refusal nothing is spent ahead.
	askPeriod = 2 * time.Second
	// longestShut bounds for how long a daemon refuses on the keeper's last
	// word: the limit may be raised meanwhile.
	maxRefusePeriod = time.Second
	// pocketIdle is after how long an unused pocket goes.
	budgetIdleTimeout = time.Minute
)

// NewPurse returns an empty purse.
func NewPurse() *Purse { return &Purse{budgets: map[id.Team]*teamBudget{}} }

// SetAhead bounds what each team may spend before the keeper knows of it.
func (p *Purse) SetAhead(units float64) { p.maxDebt = units }

// Answer is what a purse says to a request.
type Decision uint8

// The answers.
const (
	// Paid: the request may be sent.
	Paid Decision = iota + 1
	// Ask: only the keeper can say.
	AskKeeper
	// Refused: the team is at its limit, by the keeper's last word.
	Refused
)

// Spend pays for a request if it is small enough to be paid ahead. wait goes with
// Refused.
func (p *Purse) Spend(now time.Duration, team id.Team, cost float64) (a Decision, wait time.Duration) {
	k := p.budget(now, team)
	switch {
	case now < k.refuseUntil:
		return Refused, max(k.retryAt, k.refuseUntil) - now
	case now < k.askUntil || k.debt+cost > p.maxDebt:
		return AskKeeper, 0
	}
	k.debt += cost
	return Paid, 0
}

// Shut notes that the keeper has nothing to grant to a team for a while.
func (p *Purse) Shut(now time.Duration, team id.Team, r Refusal) {
	k := p.budget(now, team)
	k.refuseUntil = now + min(r.Wait, maxRefusePeriod)
	k.retryAt = now + r.Back
	k.askUntil = k.refuseUntil + askPeriod
}

// Open forgets all refusals: another keeper, or another limit, may have room.
func (p *Purse) Open() {
	for _, k := range p.budgets {
		k.refuseUntil = 0
	}
}

// Return takes back what was paid ahead for a request that has not run; false
// where the keeper knows of it already.
func (p *Purse) Return(team id.Team, cost float64) bool {
	k := p.budgets[team]
	if k == nil || k.debt < cost {
		return false
	}
	k.debt -= cost
	return true
}

// Debt is what a team has spent ahead.
type Debt struct {
	Team id.Team `cbor:"1,keyasint"`
	Cost float64 `cbor:"2,keyasint"`
}

// Settle empties the purse: the debts, by team, are the keeper's from now on.
func (p *Purse) Settle(now time.Duration) []Debt {
	var out []Debt
	for team, k := range p.budgets {
		if k.debt > 0 {
			out = append(out, Debt{Team: team, Cost: k.debt})
			k.debt = 0
		}
	}
	maps.DeleteFunc(p.budgets, func(_ id.Team, k *teamBudget) bool { return k.debt == 0 && now-k.lastUsed >= budgetIdleTimeout })
	slices.SortFunc(out, func(a, b Debt) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

func (p *Purse) budget(now time.Duration, team id.Team) *teamBudget {
	k := p.budgets[team]
	if k == nil {
		k = &teamBudget{}
		p.budgets[team] = k
	}
	k.lastUsed = now
	return k
}
