package quota

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// initialShare is the share of the burst that a new account holds. Another keeper
// may have granted up to the limit just before, so that a full burst would be
// granted twice; with an empty account, the requests right after a change of the
// keeper would be refused although their team is within its limit.
const initialShare = 0.5

// Ledger holds the keeper's accounts of teams.
type Ledger struct {
	tolerance Tolerance
	accounts  map[id.Team]*account
}

// account is a token bucket: it fills at its team's rate up to maxBalance. While the
// balance is positive, a request may cost more than the balance and leave a debt, so
// that the large requests of a team have the same chance as the small ones; allows
// describes the exception.
type account struct {
	balance float64
	// maxBalance is the most that the account may hold.
	maxBalance float64
	// updatedAt is when the balance was brought up to date.
	updatedAt time.Duration
	limit     Limit
	share     float64
	// reservedUntil is the time up to which the credit that the account gains is
	// reserved for refused requests that were given a time for their retry.
	reservedUntil time.Duration
}

// NewLedger returns a ledger without accounts.
func NewLedger(t Tolerance) *Ledger { return &Ledger{tolerance: t, accounts: map[id.Team]*account{}} }

// Charge is the cost of a request and the limit that it is charged against.
type Charge struct {
	Team  id.Team
	Limit Limit
	// Cost is in the limit's units.
	Cost float64
	// Share is the part of the limit that this ledger may grant: the part of the
	// daemons that its keeper reaches. Two keepers on either side of a network
	// partition then grant no more together than one.
	Share float64
}

// Refusal gives the delays after which a refused request may succeed.
type Refusal struct {
	// Wait is how long it takes until the account has credit.
	Wait time.Duration
	// RetryAfter is the delay after which the request should be retried: later than
	// the requests that were refused before it.
	RetryAfter time.Duration
}

// TryCharge grants the cost if the account allows it.
func (l *Ledger) TryCharge(now time.Duration, c Charge) (ok bool, r Refusal) {
	a := l.account(now, c)
	if !a.allows(c.Cost) {
		return false, a.refuse(now, c.Cost)
	}
	a.balance -= c.Cost
	return true, Refusal{}
}

// refuse returns when a request should be retried. Requests that are refused
// together get successive times, at the rate at which the account fills.
func (a *account) refuse(now time.Duration, cost float64) Refusal {
	r := Refusal{Wait: a.waitFor(cost)}
	at := max(now+r.Wait, a.reservedUntil)
	r.RetryAfter = min(at-now, maxWait)
	if rate := a.limit.Rate * a.share; rate > 0 {
		a.reservedUntil = min(at+time.Duration(cost/rate*float64(time.Second)), now+maxReserved)
	}
	return r
}

// maxReserved is how far ahead refused requests get distinct times for their
// retries: callers wait no longer than that.
const maxReserved = 8 * time.Second

// ChargeSpent charges a cost that was already spent, and returns how long the
// account stays in debt.
func (l *Ledger) ChargeSpent(now time.Duration, c Charge) time.Duration {
	a := l.account(now, c)
	a.balance -= c.Cost
	if a.balance > 0 {
		return 0
	}
	return a.waitFor(0)
}

// Refund credits the cost that was granted for a request that has not run.
func (l *Ledger) Refund(now time.Duration, c Charge) {
	a := l.account(now, c)
	a.balance = min(a.balance+c.Cost, a.maxBalance)
}

// Balance returns the balance of a team's account; ok is false if there is none.
func (l *Ledger) Balance(team id.Team) (balance float64, ok bool) {
	a, ok := l.accounts[team]
	if !ok {
		return 0, false
	}
	return a.balance, true
}

// Len returns the number of accounts.
func (l *Ledger) Len() int { return len(l.accounts) }

// account returns a team's account, brought up to date. It creates a missing one.
func (l *Ledger) account(now time.Duration, c Charge) *account {
	maxBalance := l.tolerance.maxBalance(c.Limit) * c.Share
	a := l.accounts[c.Team]
	if a == nil {
		a = &account{updatedAt: now, limit: c.Limit, share: c.Share, maxBalance: maxBalance}
		a.balance = min(initialShare*max(c.Limit.Burst, 1)*c.Share, maxBalance)
		l.accounts[c.Team] = a
		return a
	}
	a.balance += max(0, (now-a.updatedAt).Seconds()) * a.limit.Rate * a.share
	a.updatedAt = max(a.updatedAt, now)
	a.limit, a.share, a.maxBalance = c.Limit, c.Share, maxBalance
	a.balance = min(a.balance, maxBalance)
	return a
}

// allows reports whether a cost may be granted. A keeper that reaches less than
// half of the daemons may be one of many, each with accounts of its own. Their
// debts would add up, so the balance has to cover the whole cost there.
func (a *account) allows(cost float64) bool {
	if a.share < majorityShare {
		return a.balance >= cost
	}
	return a.balance > 0
}

// majorityShare is the share of the daemons that only one side of a partition can
// exceed.
const majorityShare = 0.5

// waitFor returns how long it takes until the account allows a cost.
func (a *account) waitFor(cost float64) time.Duration {
	needed := -a.balance
	if a.share < majorityShare {
		needed = cost - a.balance
	}
	rate := a.limit.Rate * a.share
	if rate <= 0 {
		return maxWait
	}
	seconds := max(needed, 0) / rate
	if seconds > maxWait.Seconds() {
		return maxWait
	}
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

const (
	// minWait and maxWait bound the wait that is given with a refusal.
	minWait = 20 * time.Millisecond
	maxWait = time.Minute
)
