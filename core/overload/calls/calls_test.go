package calls

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	ms = time.Millisecond
	// seeds is the number of seeds that each load is replayed with.
	seeds = 3
	// burstAt and burstFor are the time of the bursts.
	burstAt  = 6 * time.Second
	burstFor = 3 * time.Second
)

// sampleTeams returns 16 teams, of which three are large, that send so many calls a second
// together.
func sampleTeams(perSecond float64) []Team {
	const large, small = 5.0, 1.0
	sum := 3*large + 13*small
	var out []Team
	for i := range 16 {
		size := small
		if i < 3 {
			size = large
		}
		out = append(out, Team{
			Name: id.Team(fmt.Sprintf("team-%02d", i)), PerSecond: perSecond * size / sum, Weight: 1, Priority: 5,
		})
	}
	return out
}

// sampleService is a service of three endpoints behind 62 daemons; its usual load is 128
// calls a second of 60 ms, due in 300 ms. The callers that arrive in a burst are counted.
func sampleService(factor float64) Replay {
	return Replay{
		Load: Load{
			Length: 11 * time.Second, Teams: sampleTeams(128), Work: 60 * ms, Spread: 0.5, MaxFactor: 4,
			Bursts: []Burst{{At: burstAt, For: burstFor, Factor: factor}},
		},
		Daemons: 62, Hop: 1400 * time.Microsecond, Target: 300 * ms, Lifetime: 1200 * ms,
		Endpoints: 3, Slots: 6, Queue: 24,
		From: burstAt, To: burstAt + burstFor,
	}
}

// shortCalls is a service like sampleService with 210 calls a second of 30 ms, due in 150 ms,
// in waves of half of that; the burst comes on the crest of a wave.
func shortCalls(factor float64) Replay {
	r := sampleService(factor)
	r.Load.Teams = sampleTeams(210)
	r.Load.Work = 30 * ms
	r.Load.Wave = Wave{Period: 6 * time.Second, Share: 0.55}
	r.Target, r.Lifetime = 150*ms, 600*ms
	return r
}

// withoutTeams leaves out the teams' weights, so that age alone decides among equals.
func withoutTeams(r Replay) Replay {
	for i := range r.Load.Teams {
		r.Load.Teams[i].Weight = 0
	}
	return r
}

// total is the sum of the results of several seeds.
type total struct {
	Result
	stats callsched.Stats
	left  int
}

// replay runs a load by the way of one queue with several seeds, and sums up.
func replay(t *testing.T, r Replay, q Queue) total {
	t.Helper()
	var sum total
	for seed := uint64(1); seed <= seeds; seed++ {
		var owners []*callsched.Ledger
		q.Resend = 100 * ms
		q.New = func(pool id.Pool, self id.Process) sched.Scheduler {
			l := callsched.New(callsched.Options{Pool: pool, Self: self, Violation: func(name, detail string) {
				t.Errorf("%s: %s", name, detail)
			}})
			owners = append(owners, l)
			return l
		}
		r.Way = q.Way
		sum.add(r.Run(seed))
		for _, l := range owners {
			sum.addStats(l.Stats())
		}
		sum.left += owners[len(owners)-1].Snapshot().Held
	}
	return sum
}

// replayWay runs a load by another way with several seeds, and sums up.
func replayWay(r Replay, w func(w *simulation) way) total {
	var sum total
	r.Way = w
	for seed := uint64(1); seed <= seeds; seed++ {
		sum.add(r.Run(seed))
	}
	return sum
}

func (s *total) add(r *Result) {
	s.Count = s.Count.plus(r.Count)
	if s.Teams == nil {
		s.Teams = map[id.Team]Count{}
	}
	for team, c := range r.Teams {
		s.Teams[team] = s.Teams[team].plus(c)
	}
	for i, c := range r.Priorities {
		s.Priorities[i] = s.Priorities[i].plus(c)
	}
	s.Arrived += r.Arrived
	s.Full += r.Full
	s.Refusals += r.Refusals
	s.SlowRefusals += r.SlowRefusals
	s.Busy += r.Busy / seeds
}

func (s *total) addStats(x callsched.Stats) {
	s.stats.Granted += x.Granted
	s.stats.GrantedAtOnce += x.GrantedAtOnce
	s.stats.Lapsed += x.Lapsed
	s.stats.Adopted += x.Adopted
	s.stats.Forecasts.InTime += x.Forecasts.InTime
	s.stats.Forecasts.Late += x.Forecasts.Late
	s.stats.Forecasts.Refused += x.Forecasts.Refused
	s.stats.Forecasts.InVain += x.Forecasts.InVain
}

// compare replays a load by each way and logs the outcomes.
func compare(t *testing.T, name string, r Replay) (queue, today, perfect total) {
	t.Helper()
	queue, today, perfect = replay(t, r, Queue{}), replayWay(r, Balanced), replayWay(r, Perfect)
	t.Logf("%s, one queue:    %v", name, queue)
	t.Logf("%s, each daemon:  %v", name, today)
	t.Logf("%s, perfect:      %v", name, perfect)
	return queue, today, perfect
}

// firstShare is the share of callers whose first attempt was answered in time.
func (s total) firstShare() float64 { return float64(s.FirstInTime) / float64(max(1, s.Callers)) }

// String describes the outcomes for the log.
func (s total) String() string {
	return fmt.Sprintf("in time %.3f of %d, at the first attempt %.3f (late %d, refused at last %d, gone %d), refusals %d of which slow %d, full at endpoints %d of %d, busy %.3f",
		s.Share(), s.Callers, s.firstShare(), s.Late, s.Refused, s.Gone, s.Refusals, s.SlowRefusals, s.Full, s.Arrived, s.Busy)
}

// TestSameSeedGivesSameResult: a replay can be repeated.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	r := sampleService(2.4)
	is.Equal(replay(t, r, Queue{}), replay(t, r, Queue{}))
}

// TestBurst: for three seconds 2.4 times the usual calls, or twice the crest of a wave: about
// as many as the endpoints can take. Hardly any call finds a full endpoint, and nearly as many are answered in time as
// one queue would that needs no messages and knows how long each call takes.
func TestBurst(t *testing.T) {
	for name, r := range map[string]Replay{"60 ms": sampleService(2.4), "30 ms": shortCalls(2), "no teams": withoutTeams(sampleService(2.4))} {
		is := is.New(t)
		queue, _, perfect := compare(t, name, r)
		is.True(float64(queue.Full) < 0.02*float64(queue.Arrived))
		is.True(queue.Share() >= 0.93*perfect.Share())
		is.True(queue.firstShare() >= 0.93*perfect.firstShare())
	}
}

// TestOverload: for three seconds four times the usual calls, or three times the crest of a
// wave: half as many again as the endpoints can take. Nearly all refusals are given at once, and the callers that come back
// as told find room.
func TestOverload(t *testing.T) {
	for name, r := range map[string]Replay{"60 ms": sampleService(4), "30 ms": shortCalls(3), "no teams": withoutTeams(sampleService(4))} {
		is := is.New(t)
		queue, _, perfect := compare(t, name, r)
		t.Logf("%s, forecasts:    %+v", name, queue.stats.Forecasts)
		is.True(float64(queue.SlowRefusals) < 0.01*float64(queue.Refusals))
		is.True(float64(queue.Full) < 0.02*float64(queue.Arrived))
		is.True(queue.Share() >= 0.93*perfect.Share())
		// of those that were refused once, nine in ten are not refused again
		is.True(float64(queue.Refused) < 0.1*float64(queue.FirstRefused))
	}
}

// TestFloodOfOneTeam: one team sends ten times its usual calls. The others are served as on a
// calm day, and the room that they leave goes to it.
func TestFloodOfOneTeam(t *testing.T) {
	is := is.New(t)
	const flooding = id.Team("team-00")
	r := sampleService(1)
	calm := replay(t, r, Queue{})
	r.Load.Bursts = []Burst{{Team: flooding, At: burstAt, For: burstFor, Factor: 10}}
	flood, today := replay(t, r, Queue{}), replayWay(r, Balanced)
	others := func(x total) Count {
		c := x.Count
		own := x.Teams[flooding]
		c.Callers, c.InTime = c.Callers-own.Callers, c.InTime-own.InTime
		return c
	}
	t.Logf("others in time: calm %.3f, flood %.3f, each daemon %.3f", others(calm).Share(), others(flood).Share(), others(today).Share())
	t.Logf("flooding team in time: %d of %d, each daemon %d of %d, busy %.3f", flood.Teams[flooding].InTime,
		flood.Teams[flooding].Callers, today.Teams[flooding].InTime, today.Teams[flooding].Callers, flood.Busy)
	is.True(others(flood).Share() >= others(calm).Share()-0.05)
	is.True(flood.Busy >= 0.93)
	for team, c := range flood.Teams {
		is.True(team == flooding || c.Share() >= calm.Teams[team].Share()-0.05)
	}
}

// TestPriorities: a third of the calls are urgent, in a burst beyond what the endpoints can
// take. They are never served worse than the others.
func TestPriorities(t *testing.T) {
	const urgent, other = 9, 5
	for _, factor := range []float64{1, 2.4, 4} {
		is := is.New(t)
		r := sampleService(factor)
		for i := range r.Load.Teams {
			if i%3 == 0 {
				r.Load.Teams[i].Priority = urgent
			}
		}
		queue, today := replay(t, r, Queue{}), replayWay(r, Balanced)
		t.Logf("burst of %v: urgent in time %.3f, others %.3f; each daemon %.3f, %.3f", factor,
			queue.Priorities[urgent].Share(), queue.Priorities[other].Share(),
			today.Priorities[urgent].Share(), today.Priorities[other].Share())
		is.True(queue.Priorities[urgent].Share() >= queue.Priorities[other].Share()-1e-9)
		t.Log(queue)
		is.True(float64(queue.SlowRefusals) <= 0.01*float64(queue.Refusals)+1)
	}
}

// TestLostGrants: one grant in twenty is lost on its way, during a burst. Their places come
// back, and no endpoint is overrun.
func TestLostGrants(t *testing.T) {
	is := is.New(t)
	r := sampleService(2.4)
	whole, lossy := replay(t, r, Queue{}), replay(t, r, Queue{LostGrants: 0.05})
	t.Logf("none lost: %v", whole)
	t.Logf("one in 20: %v, leases lapsed %d", lossy, lossy.stats.Lapsed)
	is.Equal(lossy.left, 0) // no place stays held
	is.True(float64(lossy.Full) < 0.02*float64(lossy.Arrived))
	is.True(lossy.Share() >= 0.93*whole.Share())
}

// TestOwnerDiesInBurst: the owner dies in mid burst; the daemons learn of it 200 to 400 ms
// later, and the new owner starts with nothing. The endpoints are not overrun, and those who
// arrive a second later are served as if nothing had happened.
func TestOwnerDiesInBurst(t *testing.T) {
	checkOwnerChange(t, Queue{OwnerChanges: burstAt + time.Second, NoticedIn: 200 * ms, OwnerDies: true})
}

// TestOwnerChangesInBurst: another daemon becomes the owner in mid burst, and learns of the
// grants in use while the former one still grants to daemons that don't know yet.
func TestOwnerChangesInBurst(t *testing.T) {
	is := is.New(t)
	changes := Queue{OwnerChanges: burstAt + time.Second, NoticedIn: 50 * ms}
	adopted := checkOwnerChange(t, changes)
	is.True(adopted > 0)
}

// checkOwnerChange compares a burst in which the owner changes with one in which it doesn't,
// and returns the number of grants that the new owner has adopted.
func checkOwnerChange(t *testing.T, change Queue) uint64 {
	t.Helper()
	is := is.New(t)
	r := sampleService(2.4)
	whole, changed := replay(t, r, Queue{}), replay(t, r, change)
	t.Logf("one owner: %v", whole)
	t.Logf("changed:   %v, adopted %d", changed, changed.stats.Adopted)
	is.Equal(changed.left, 0)
	is.True(float64(changed.Full) < 0.02*float64(changed.Arrived))
	r.From = change.OwnerChanges + time.Second
	whole, after := replay(t, r, Queue{}), replay(t, r, change)
	t.Logf("a second later: %.3f in time, %.3f with one owner", after.Share(), whole.Share())
	is.True(after.Share() >= 0.93*whole.Share())
	return changed.stats.Adopted
}

// TestNothingScarce: the endpoints are a quarter busy. No call waits and none is refused.
func TestNothingScarce(t *testing.T) {
	is := is.New(t)
	r := sampleService(1)
	r.Load.Teams = sampleTeams(75)
	queue, today := replay(t, r, Queue{}), replayWay(r, Balanced)
	t.Logf("one queue:   %v", queue)
	t.Logf("each daemon: %v", today)
	is.Equal(queue.Refusals, 0)
	is.Equal(queue.stats.Granted, queue.stats.GrantedAtOnce)
	is.True(queue.Share() >= today.Share()-0.002)
}
