package quota

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// startShare of the burst is in an account that begins. Another keeper may have
// granted up to the limit just before, so that a full burst would come twice;
// with none at all, the requests right after a change of the keeper would be
// refused though their team is within its limit.
const initialShare = 0.5

// Ledger holds the accounts of teams at the keeper.
type Ledger struct {
	tolerance Tolerance
	accounts  map[id.Team]*account
}

// account fills at its team's rate up to the burst. Whoever finds something in
// it may spend more than that, and leaves a debt: large requests of a team have
// the same chance as small ones.
type account struct {
	balance float64
	// room is the most that it may hold.
	maxBalance float64
	// at is when the balance was brought up to date.
	updatedAt time.Duration
	limit     Limit
	share     float64
	// bookedUntil is up to when the account's income is spoken for by those that
	// were told to come back.
	reservedUntil time.Duration
}

// NewLedger returns a ledger without accounts.
func NewLedger(t Tolerance) *Ledger { return &Ledger{tolerance: t, accounts: map[id.Team]*account{}} }

// Charge is what a request asks of a team's account.
type Charge struct {
	Team  id.Team
	Limit Limit
	// Cost is in the limit's units.
	Cost float64
	// Share is the part of the limit that this ledger may grant: the part of the
	// daemons that its keeper reaches. Two keepers on either side of a cut then
	// grant no more together than one.
	Share float64
}

// Refusal says when there will be room.
type Refusal struct {
	// Wait is how long it takes until there is some.
	Wait time.Duration
	// Back is when the refused request should come back: behind those that were
	// refused before it.
	Back time.Duration
}

// Take grants the cost if there is room.
func (l *Ledger) Take(now time.Duration, c Charge) (ok bool, r Refusal) {
	a := l.account(now, c)
	if !a.allows(c.Cost) {
		return false, a.refuse(now, c.Cost)
	}
	a.balance -= c.Cost
	return true, Refusal{}
}

// refuse tells a request when to come back. Those that are refused together come
// back one after another, as the account fills.
func (a *account) refuse(now time.Duration, cost float64) Refusal {
	r := Refusal{Wait: a.waitFor(cost)}
	at := max(now+r.Wait, a.reservedUntil)
	r.Back = min(at-now, maxWait)
	if rate := a.limit.Rate * a.share; rate > 0 {
		a.reservedUntil = min(at+time.Duration(cost/rate*float64(time.Second)), now+maxReserved)
	}
	return r
}

// mostBooked is how far ahead those that were refused are told apart: callers
// wait no longer.
const maxReserved = 8 * time.Second

// Owe charges what was spent already, and says how long the account is in debt.
func (l *Ledger) Owe(now time.Duration, c Charge) time.Duration {
	a := l.account(now, c)
	a.balance -= c.Cost
	if a.balance > 0 {
		return 0
	}
	return a.waitFor(0)
}

// Return gives back what was granted for a request that has not run.
func (l *Ledger) Return(now time.Duration, c Charge) {
	a := l.account(now, c)
	a.balance = min(a.balance+c.Cost, a.maxBalance)
}

// Balance is what a team's account holds; ok is false where there is none.
func (l *Ledger) Balance(team id.Team) (balance float64, ok bool) {
	a, ok := l.accounts[team]
	if !ok {
		return 0, false
	}
	return a.balance, true
}

// Len is how many accounts there are.
func (l *Ledger) Len() int { return len(l.accounts) }

// account brings a team's account up to date, making it if there is none.
func (l *Ledger) account(now time.Duration, c Charge) *account {
	room := l.tolerance.maxBalance(c.Limit) * c.Share
	a := l.accounts[c.Team]
	if a == nil {
		a = &account{updatedAt: now, limit: c.Limit, share: c.Share, maxBalance: room}
		a.balance = min(initialShare*max(c.Limit.Burst, 1)*c.Share, room)
		l.accounts[c.Team] = a
		return a
	}
	a.balance += max(0, (now-a.updatedAt).Seconds()) * a.limit.Rate * a.share
	a.updatedAt = max(a.updatedAt, now)
	a.limit, a.share, a.maxBalance = c.Limit, c.Share, room
	a.balance = min(a.balance, room)
	return a
}

// allows says whether a cost may be granted. A keeper that reaches few of the
// daemons may have many beside it, each with accounts of its own: their debts
// would add up.
func (a *account) allows(cost float64) bool {
	if a.share < majorityShare {
		return a.balance >= cost
	}
	return a.balance > 0
}

// majority of the daemons can't be on two sides of a cut.
const majorityShare = 0.5

// wait is how long it takes until the account allows a cost.
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
	// shortestWait and longestWait bound the advice to come back.
	minWait = 20 * time.Millisecond
	maxWait = time.Minute
)
