package calls

import (
	"fmt"
	"testing"
	"time"

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
