package quotas

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

const (
	desk = id.Team("desk")
	key  = "pool"
	// patience is longer than any test waits for a reply that arrives.
	patience = 20 * time.Second
)

// withoutRefill is a limit whose account does not refill noticeably within a test.
var withoutRefill = quota.Limit{Rate: 1e-9, Burst: 8}

// fleet runs the duties of several daemons in one process. Messages to and from the
// unreachable daemons are lost.
type fleet struct {
	mu          sync.Mutex
	unreachable map[id.Daemon]bool
	members     []id.Daemon
	duties      map[id.Daemon]*Quotas
	limit       quota.Limit
}

func newFleet(t *testing.T, tolerance quota.Tolerance, names ...id.Daemon) *fleet {
	t.Helper()
	f := &fleet{unreachable: map[id.Daemon]bool{}, members: names, duties: map[id.Daemon]*Quotas{}, limit: withoutRefill}
	start := time.Now()
	for _, name := range names {
		q := New(Config{
			Self:      name,
			Send:      func(to id.Daemon, e *Envelope) error { return f.send(name, to, e) },
			Limit:     func(id.Team) (quota.Limit, bool) { return f.limit, true },
			Tolerance: tolerance,
			Fleet:     func() Fleet { return Fleet{Daemons: len(names), Reached: len(names)} },
			Log:       func(string, ...any) {},
			Metrics:   metrics.New(string(name)),
			Now:       func() time.Duration { return time.Since(start) },
		})
		t.Cleanup(q.Close)
		q.SetKey(key)
		f.duties[name] = q
	}
	for _, q := range f.duties {
		q.SetMembers(names)
	}
	for _, q := range f.duties {
		// Wait until SetMembers has taken effect.
		q.duty.Query(func(time.Duration) {})
	}
	return f
}

func (f *fleet) send(from, to id.Daemon, e *Envelope) error {
	f.mu.Lock()
	lost := f.unreachable[to] || f.unreachable[from]
	f.mu.Unlock()
	if !lost {
		go f.duties[to].Receive(from, e)
	}
	return nil
}

// keeper returns the keeper and another daemon.
func (f *fleet) keeper() (keeper, other id.Daemon) {
	keeper = rendezvous.Owner(key, f.members)
	for _, name := range f.members {
		if name != keeper {
			return keeper, name
		}
	}
	return keeper, keeper
}

func (f *fleet) charge(name id.Daemon, cost float64) *verdict.Error {
	return f.duties[name].Charge(context.Background(), desk, f.limit, cost, patience)
}

func TestAllDaemonsSpendFromOneAccount(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quota.Tolerance{}, "a", "b", "c")
	granted := 0
	for range 4 {
		for _, name := range f.members {
			err := f.charge(name, 1)
			if err == nil {
				granted++
				continue
			}
			is.Equal(err.Code, verdict.CodeTeamLimit)
			is.Equal(err.Verdict, verdict.NotRun)
			is.True(err.RetryAfter > 0)
		}
	}
	is.True(granted == 4 || granted == 5) // half of the burst, and one request that leaves a debt
}

func TestRefundRestoresTheBalance(t *testing.T) {
	f := newFleet(t, quota.Tolerance{}, "a", "b")
	_, other := f.keeper()
	charged := 0.0
	for f.charge(other, 4) == nil {
		charged += 4
	}
	f.duties[other].Refund(desk, charged)
	for f.charge(other, 4) != nil {
		time.Sleep(10 * time.Millisecond)
	}
}

func TestSmallRequestDoesNotWaitForTheKeeper(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quota.Tolerance{Slack: 80}, "a", "b")
	keeper, other := f.keeper()
	f.unreachable[keeper] = true
	for range 10 {
		is.Equal(f.charge(other, 1), nil) // a quarter of the slack, half of it here
	}
	err := f.duties[other].Charge(context.Background(), desk, f.limit, 1, time.Millisecond)
	is.Equal(err.Code, verdict.CodeUnavailable)
	is.Equal(err.Verdict, verdict.NotRun)
}

// TestNewKeeperAnswersPendingRequests: a request that waits for an unreachable keeper
// must get its reply from the next keeper.
func TestNewKeeperAnswersPendingRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quota.Tolerance{}, "a", "b", "c")
	keeper, other := f.keeper()
	f.mu.Lock()
	f.unreachable[keeper] = true
	f.mu.Unlock()
	answer := make(chan *verdict.Error, 1)
	go func() { answer <- f.charge(other, 1) }()
	var left []id.Daemon
	for _, name := range f.members {
		if name != keeper {
			left = append(left, name)
		}
	}
	for _, name := range left {
		f.duties[name].SetMembers(left)
	}
	is.Equal(<-answer, nil)
}

func TestCancelledCallerDoesNotWait(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quota.Tolerance{}, "a", "b")
	keeper, other := f.keeper()
	f.unreachable[keeper] = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := f.duties[other].Charge(ctx, desk, f.limit, 1, patience)
	is.True(err != nil)
	is.Equal(err.Verdict, verdict.NotRun)
}

// TestRepeatedRequestIsChargedOnce: a request is repeated since its reply was late or
// lost.
func TestRepeatedRequestIsChargedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quota.Tolerance{}, "a", "b")
	keeper, other := f.keeper()
	request := &ChargeRequest{Seq: 7, Team: desk, Limit: f.limit, Cost: 1}
	balance := 0.0
	for range 5 {
		f.duties[keeper].duty.Query(func(now time.Duration) {
			is.True(f.duties[keeper].decideOnce(now, other, request).Granted)
			balance, _ = f.duties[keeper].ledger.Balance(desk)
		})
	}
	is.True(balance >= 3) // of the initial balance of 4
}
