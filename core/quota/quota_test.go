package quota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

const desk = id.Team("desk")

func charge(cost float64) Charge {
	return Charge{Team: desk, Limit: Limit{Rate: 100, Burst: 200}, Cost: cost, Share: 1}
}

func TestCostFollowsTheLimitsUnit(t *testing.T) {
	is := is.New(t)
	tokens := Limit{Rate: 1, ByTokens: true, PlainTokens: 200}
	is.Equal(tokens.Cost(Size{Known: true, Prompt: 5200, Output: 71}), 5271.0)
	is.Equal(tokens.Cost(Size{}), 200.0)
	is.Equal(Limit{Rate: 1}.Cost(Size{Known: true, Prompt: 5200}), 1.0)
	is.True(!Limit{Burst: 5}.Limited())
	is.True(Limit{Rate: -1}.Validate() != nil)
	is.True(Limit{Burst: math.NaN()}.Validate() != nil)
	is.NoErr(tokens.Validate())
}

func TestAccountRefillsUpToTheBurst(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{})
	ok, _ := l.TryCharge(0, charge(150)) // half of the burst is available, and a debt of 50 remains
	is.True(ok)
	ok, refused := l.TryCharge(0, charge(1))
	is.True(!ok)
	is.Equal(refused.Wait, 500*time.Millisecond)
	ok, _ = l.TryCharge(501*time.Millisecond, charge(1))
	is.True(ok)
	l.Refund(501*time.Millisecond, charge(1))
	_, _ = l.TryCharge(time.Hour, charge(0))
	balance, _ := l.Balance(desk)
	is.Equal(balance, 200.0)
}

func TestLoweredLimitAppliesImmediately(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{})
	_, _ = l.TryCharge(0, charge(0))
	low := charge(5)
	low.Limit = Limit{Rate: 1, Burst: 10}
	granted := 0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		if ok, _ := l.TryCharge(at, low); ok {
			granted++
		}
	}
	is.True(granted <= 5) // 5 units at the start, 10 in ten seconds, and a debt of 5 at most
}

// TestPartitionedKeepersTogetherKeepTheLimit: daemons that each reach only
// themselves grant no more together than one keeper of all.
func TestPartitionedKeepersTogetherKeepTheLimit(t *testing.T) {
	is := is.New(t)
	const daemons, cost, length = 20, 50, 8 * time.Second
	total := 0.0
	for range daemons {
		l := NewLedger(Tolerance{})
		c := charge(cost)
		c.Limit = Limit{Rate: 1000, Burst: 1000}
		c.Share = 1.0 / daemons
		for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
			if ok, _ := l.TryCharge(at, c); ok {
				total += cost
			}
		}
	}
	is.True(total <= 1000*length.Seconds()+1000)
	is.True(total >= 0.9*1000*length.Seconds())
}

func TestSmallRequestsAreGrantedInAdvanceUntilTheKeeperRefuses(t *testing.T) {
	is := is.New(t)
	p := NewLocalBudget()
	p.SetMaxDebt(400)
	a, _ := p.Spend(0, desk, 200)
	is.Equal(a, Granted)
	a, _ = p.Spend(0, desk, 200)
	is.Equal(a, Granted)
	a, _ = p.Spend(0, desk, 200)
	is.Equal(a, AskKeeper)
	is.True(p.Refund(desk, 200))
	is.Equal(p.Settle(0), []Debt{{Team: desk, Cost: 200}})
	is.True(!p.Refund(desk, 200)) // already reported to the keeper
	is.Equal(len(p.Settle(0)), 0)

	p.RefuseFor(0, desk, Refusal{Wait: 300 * time.Millisecond})
	a, wait := p.Spend(100*time.Millisecond, desk, 1)
	is.Equal(a, Refused)
	is.Equal(wait, 200*time.Millisecond)
	a, _ = p.Spend(300*time.Millisecond, desk, 1)
	is.Equal(a, AskKeeper) // nothing is granted in advance so soon after a refusal
	a, _ = p.Spend(300*time.Millisecond+askPeriod, desk, 1)
	is.Equal(a, Granted)

	p.RefuseFor(10*time.Second, desk, Refusal{Wait: time.Hour})
	p.ClearRefusals()
	a, _ = p.Spend(10*time.Second, desk, 1)
	is.Equal(a, AskKeeper)
}

func TestToleranceExtendsTheBurstNotTheRate(t *testing.T) {
	is := is.New(t)
	tolerance := Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140}
	limit := charge(0).Limit
	is.Equal(tolerance.For(limit), 0.1*1000+140)
	is.Equal(tolerance.MaxDebt(7), 5.0)
	l := NewLedger(tolerance)
	_, _ = l.TryCharge(0, charge(0))
	granted := 0.0
	const from, length = time.Hour, 100 * time.Second
	for at := from; at < from+length; at += 10 * time.Millisecond {
		if ok, _ := l.TryCharge(at, charge(10)); ok {
			granted += 10
		}
	}
	is.True(granted <= 100*length.Seconds()+200+0.5*240+10)
	is.True(granted >= 100*length.Seconds())
}

// TestSimultaneousRefusalsGetStaggeredRetries, at the rate at which the account fills.
func TestSimultaneousRefusalsGetStaggeredRetries(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{})
	_, _ = l.TryCharge(0, charge(100)) // the account is empty
	last := time.Duration(0)
	for range 5 {
		ok, refused := l.TryCharge(0, charge(50))
		is.True(!ok)
		is.True(refused.RetryAfter >= last)
		last = refused.RetryAfter + 500*time.Millisecond // the time in which the account gains the request's cost
	}
	for range 1000 {
		_, _ = l.TryCharge(0, charge(50))
	}
	_, refused := l.TryCharge(0, charge(50))
	is.True(refused.RetryAfter <= maxReserved)
	is.Equal(refused.Wait, minWait) // the reservations do not change when there is credit
}

// BenchmarkTryCharge charges requests of 900 teams.
func BenchmarkTryCharge(b *testing.B) {
	l := NewLedger(Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140_000})
	teams := make([]id.Team, 900)
	for i := range teams {
		teams[i] = teamName(i)
	}
	c := charge(10)
	at := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		c.Team = teams[i%len(teams)]
		at += 150 * time.Microsecond
		_, _ = l.TryCharge(at, c)
	}
}
