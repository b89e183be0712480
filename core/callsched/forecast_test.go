package callsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// queueUntilRefused sends calls at one moment until one is refused, and returns the number
// of those that wait and the refusal.
func (f *fixture) queueUntilRefused(now time.Duration) (int, *sched.Refusal) {
	f.t.Helper()
	for n := range 1000 {
		if actions := f.Want(now, want(fmt.Sprintf("queued-%d", n))); len(actions) > 0 {
			return n, f.refused(actions)
		}
	}
	f.t.Fatal("no call was refused")
	return 0, nil
}

// TestRefusedAtOnce: a burst arrives at one moment. The calls that can be in time wait, the
// next one is refused at once, and those that wait are all in time if the endpoints work as
// expected.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	running := f.fill(start)
	waiting, refusal := f.queueUntilRefused(start)
	is.True(waiting >= 8) // twice as many could start in time if none took longer than expected
	is.Equal(refusal.Code, verdict.CodeOverloaded)
	is.True(refusal.RetryAfter >= minRetryAfter*8/10 && refusal.RetryAfter <= maxRetryAfter*12/10)
	// Each slot takes 50 ms for a call, four of them at a time.
	for now := start + 50*ms; len(running) > 0; now += 50 * ms {
		for range min(4, len(running)) {
			g := running[0]
			running = running[1:]
			is.True(now <= start+300*ms)
			for _, a := range f.end(now, g) {
				is.True(a.Grant != nil)
				running = append(running, a.Grant)
			}
		}
	}
	is.Equal(f.Stats().Forecasts.Late, uint64(0))
	is.Equal(f.Stats().RefusedAfterWait, uint64(0))
}

// TestRetryDelaysAreSpread: callers that are refused at one moment are not told to come back
// at one moment, nor more of them than fit.
func TestRetryDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	f.fill(start)
	f.queueUntilRefused(start)
	distinct := map[time.Duration]bool{}
	for i := range 100 {
		refusal := f.refused(f.Want(start+ms, want(fmt.Sprintf("more-%d", i))))
		is.True(refusal.RetryAfter <= maxRetryAfter*12/10)
		distinct[refusal.RetryAfter.Truncate(10*ms)] = true
	}
	is.True(len(distinct) >= 50)
}

// TestEndpointDiesBeforeQueue: half of the endpoints die while calls wait. Those that the
// other half can't serve in time are decided anew at once, not when they are overdue.
func TestEndpointDiesBeforeQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	f.fill(start)
	waiting, _ := f.queueUntilRefused(start)
	refused := 0
	for _, a := range f.Load(start+10*ms, sched.Load{Endpoint: "e1"}) {
		if a.Refusal != nil {
			refused++
		}
	}
	is.True(refused > 0 && refused < waiting)
	is.Equal(f.Snapshot().Queued, waiting-refused)
}

// TestLateCallWaitsForRoom: a call that can't be in time but has patience is queued while
// hardly any calls arrive, and is granted after those that can be in time.
func TestLateCallWaitsForRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	now := start + 2*time.Second // the load of the calls that follow counts alone
	running := f.fill(now)
	late := want("late")
	late.Target = 20 * ms
	is.Equal(len(f.Want(now, late)), 0)
	is.Equal(len(f.Want(now+ms, want("in time"))), 0)
	is.Equal(f.granted(f.end(now+50*ms, running[0])).Request, id.Request("in time"))
	is.Equal(f.granted(f.end(now+50*ms, running[1])).Request, id.Request("late"))
	is.Equal(f.Stats().GrantedLate, uint64(1))
}

// TestLateCallIsRefusedUnderLoad: as many calls arrive as the endpoints take, so that a late
// one would only wait to be refused.
func TestLateCallIsRefusedUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	running := f.fill(start)
	now := start
	for n := range 40 { // 40 calls a second, each of 50 ms, to two slots
		now += 25 * ms
		for _, a := range append(f.end(now, running[0]), f.Want(now, want(fmt.Sprint(n)))...) {
			if a.Grant != nil {
				running = append(running, a.Grant)
			}
		}
		running = running[1:]
	}
	for f.anyRoom() {
		f.Want(now, want(fmt.Sprintf("last-%v", f.serial)))
	}
	late := want("late")
	late.Target = ms
	is.Equal(f.refused(f.Want(now, late)).Code, verdict.CodeOverloaded)
}

// TestNoTarget: a route states no target. Its calls wait as long as their patience lasts.
func TestNoTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	f.fill(start)
	w := want("a")
	w.Target = 0
	is.Equal(len(f.Want(start, w)), 0)
	w = want("impatient")
	w.Target, w.Patience = 0, ms
	is.Equal(f.refused(f.Want(start, w)).Code, verdict.CodeOverloaded)
}

// TestUrgentFirst: calls of a higher priority are granted before older ones.
func TestUrgentFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	running := f.fill(start)
	f.Want(start, want("usual"))
	urgent := want("urgent")
	urgent.Priority = 9
	f.Want(start+ms, urgent)
	is.Equal(f.granted(f.end(start+50*ms, running[0])).Request, id.Request("urgent"))
}

// TestShareIsByTeamInThePool: one of two teams spreads its calls over two services; it gets
// no more places than the other.
func TestShareIsByTeamInThePool(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1, live.Team{Name: "split", Weight: 1}, live.Team{Name: "plain", Weight: 1}))
	running := f.fill(start)
	send := func(n int, team id.Team, service id.Service) {
		w := want(fmt.Sprintf("%s-%s-%d", team, service, n))
		w.Team, w.Service = team, service
		w.Target, w.Patience, w.Lifetime = 10*time.Second, 20*time.Second, 30*time.Second
		is.Equal(len(f.Want(start, w)), 0)
	}
	for n := range 20 {
		send(n, "split", "s")
		send(n, "split", "other")
		send(n, "plain", "s")
	}
	got := map[id.Team]int{}
	now := start
	for range 20 {
		now += 25 * ms
		g := f.granted(f.end(now, running[0]))
		running = append(running[1:], g)
		got[f.Ledger.granted[g.Request].want.Team]++
	}
	is.Equal(got, map[id.Team]int{"split": 10, "plain": 10})
}

// TestUnusedShareGoesToWhoeverWantsIt: only one team has calls waiting; it gets every place.
func TestUnusedShareGoesToWhoeverWantsIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1, live.Team{Name: "busy", Weight: 1}, live.Team{Name: "idle", Weight: 100}))
	running := f.fill(start)
	w := want("a")
	w.Team = "busy"
	f.Want(start, w)
	is.Equal(f.granted(f.end(start+50*ms, running[0])).Request, id.Request("a"))
}

// TestRefusalsInVainAreCounted: the endpoints become idle sooner than forecast, since all
// calls that were in flight end at once.
func TestRefusalsInVainAreCounted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	running := f.fill(start)
	hopeless := want("a")
	hopeless.Target, hopeless.Patience = 55*ms, 60*ms
	f.refused(f.Want(start, hopeless))
	f.end(start+ms, running[0])
	is.Equal(f.Stats().Forecasts, Forecasts{Refused: 1, InVain: 1, InTime: 1})
}

// TestTheFirstLateCallIsNotRefusedForThoseBehindIt: several late calls wait. The first one,
// whose patience ends first, is the next to be granted, however many wait behind it.
func TestTheFirstLateCallIsNotRefusedForThoseBehindIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	now := start + 2*time.Second // the load of the calls that follow counts alone
	running := f.fill(now)
	hold := func(until time.Duration) { // the calls under way take long, and nothing else comes
		for ; now < until; now += 5 * ms {
			for _, g := range running {
				is.Equal(len(f.Progress(now, sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseDecoding})), 0)
			}
			is.Equal(len(f.Tick(now)), 0)
		}
	}
	ends := now + 800*ms
	for n := range 4 {
		hold(now + 100*ms)
		late := want(fmt.Sprintf("late-%d", n))
		late.Target, late.Patience, late.Lifetime = 20*ms, 4*time.Second, 5*time.Second
		if n == 0 {
			late.Patience = ends + 60*ms - now
		}
		is.Equal(len(f.Want(now, late)), 0)
	}
	hold(ends)
	is.Equal(f.granted(f.end(ends, running[0])).Request, id.Request("late-0"))
}

// TestAWaitWithoutEndIsLong: the arriving work that goes first leaves hardly any place free.
func TestAWaitWithoutEndIsLong(t *testing.T) {
	is := is.New(t)
	a := ahead{queued: 100, higher: 3 - 1e-9, perCall: 0.05}
	is.Equal(a.wait(3), unknownWait)
}
