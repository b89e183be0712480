package kvsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// simulateFlood runs teams that each send the given number of requests a second
// to an undersized pool for ten seconds, and returns the number of grants of
// each.
func simulateFlood(t *testing.T, perSecond map[id.Team]float64, weights map[id.Team]float64, off ...Mechanism) map[id.Team]int {
	t.Helper()
	doc := document(2, 2, 4000)
	for team, weight := range weights {
		doc.Teams = append(doc.Teams, live.Team{Name: team, Weight: weight})
	}
	l := New(Options{Pool: "p", Self: requester, Disabled: off})
	l.Configure(0, doc)
	granted := map[id.Team]int{}
	ends := map[time.Duration][]*sched.Grant{}
	teams := map[id.Request]id.Team{}
	due := map[id.Team]float64{}
	const step = 10 * time.Millisecond
	for now := time.Second; now < 11*time.Second; now += step {
		var actions []sched.Action
		for _, g := range ends[now] {
			actions = append(actions, l.Progress(now, done(g, sched.PhaseDone))...)
		}
		for team, n := range perSecond {
			for due[team] += n * step.Seconds(); due[team] >= 1; due[team]-- {
				w := want(fmt.Sprintf("%s-%d-%v", team, len(teams), now), 1000, 100)
				w.Team = team
				w.Target, w.Patience = 2*time.Second, 2*time.Second
				teams[w.Request] = team
				actions = append(actions, l.Want(now, w)...)
			}
		}
		actions = append(actions, l.Tick(now)...)
		for _, g := range grants(actions) {
			granted[teams[g.Request]]++
			ends[now+500*time.Millisecond] = append(ends[now+500*time.Millisecond], g)
		}
	}
	return granted
}

// TestFloodingTeamTakesNothingFromOthers: the pool grants about twelve requests
// a second; four teams send two each and one team sends 30.
func TestFloodingTeamTakesNothingFromOthers(t *testing.T) {
	is := is.New(t)
	perSecond := map[id.Team]float64{"a": 2, "b": 2, "c": 2, "d": 2, "hot": 30}
	same := map[id.Team]float64{"a": 1, "b": 1, "c": 1, "d": 1, "hot": 1}
	shared := simulateFlood(t, perSecond, same)
	for _, team := range []id.Team{"a", "b", "c", "d"} {
		is.True(shared[team] >= 19) // all but the last of the 20 that it sent
	}
	is.True(shared["hot"] >= 20) // the shares that the others leave unused are not wasted
	byAge := simulateFlood(t, perSecond, same, TeamShares)
	is.True(byAge["a"] < 10) // by age alone, the hot team's requests go first
}

func TestBackloggedTeamsAreServedByWeight(t *testing.T) {
	is := is.New(t)
	perSecond := map[id.Team]float64{"small": 20, "large": 20}
	got := simulateFlood(t, perSecond, map[id.Team]float64{"small": 1, "large": 3})
	ratio := float64(got["large"]) / float64(got["small"])
	is.True(ratio > 3/1.3 && ratio < 3*1.3)
}

func TestWithoutTeamsOldestGoesFirst(t *testing.T) {
	is := is.New(t)
	perSecond := map[id.Team]float64{"a": 2, "hot": 30}
	is.Equal(simulateFlood(t, perSecond, nil), simulateFlood(t, perSecond, nil, TeamShares))
}
