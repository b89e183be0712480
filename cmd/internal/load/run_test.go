package load

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

func testTeams(second Behaviour) []Team {
	return []Team{
		{Name: "aktau", Key: "a", Profile: Bunker()},
		{Name: "xela", Key: "x", Weight: 2, Behaviour: second, Profile: Companeros()},
	}
}

func TestScheduleIsReproducible(t *testing.T) {
	is := is.New(t)
	spec := Spec{Teams: testTeams(BehaviourNormal), Rate: 50, Duration: 4 * time.Second, Seed: 7}
	first := Schedule(spec)
	is.Equal(first, Schedule(spec))
	spec.Seed = 8
	other := Schedule(spec)
	is.True(len(other) == 0 || first[0] != other[0])
}

func TestFloodDoesNotChangeOtherArrivals(t *testing.T) {
	is := is.New(t)
	spec := Spec{Teams: testTeams(BehaviourNormal), Rate: 50, Duration: 4 * time.Second, Seed: 7}
	normal := arrivalsOf(Schedule(spec), 0)
	spec.Teams = testTeams(BehaviourFlood)
	flooded := Schedule(spec)
	is.Equal(normal, arrivalsOf(flooded, 0))
	is.True(len(arrivalsOf(flooded, 1)) > 5*len(normal))
}

func arrivalsOf(all []Arrival, team int) []Arrival {
	var out []Arrival
	for _, a := range all {
		if a.Team == team {
			out = append(out, a)
		}
	}
	return out
}

func TestPromptLengthsFollowTheProfile(t *testing.T) {
	is := is.New(t)
	spec := Spec{Teams: testTeams(BehaviourNormal)[:1], Rate: 1000, Requests: 20000, Seed: 3}
	arrivals := Schedule(spec)
	is.Equal(len(arrivals), 20000)
	var sum, plain float64
	for _, a := range arrivals {
		sum += float64(a.PromptTokens)
		if a.Plain {
			plain++
		}
	}
	n := float64(len(arrivals))
	is.True(math.Abs(sum/n-2500) < 125)
	is.True(math.Abs(plain/n-0.2) < 0.02)
}

func TestPromptsShareTheirPrefix(t *testing.T) {
	is := is.New(t)
	teams := testTeams(BehaviourNormal)
	p := NewPrompts(1, teams)
	a := Arrival{Team: 0, Prefix: 3, PromptTokens: 2000, TextSeed: 1}
	b := Arrival{Team: 0, Prefix: 3, PromptTokens: 2000, TextSeed: 2}
	c := Arrival{Team: 1, Prefix: 3, PromptTokens: 2000, TextSeed: 1}
	is.Equal(CountTokens(p.Prompt(a)), 2000)
	is.Equal(p.Prompt(a), NewPrompts(1, teams).Prompt(a))
	is.True(p.Prompt(a) != p.Prompt(b))
	is.Equal(p.Prompt(a)[:2900], p.Prompt(b)[:2900])
	is.True(p.Prompt(a)[:200] != p.Prompt(c)[:200])
}

func TestBurstRaisesTheRate(t *testing.T) {
	is := is.New(t)
	b := Burst{Every: time.Second, Length: 100 * time.Millisecond, Factor: 5}
	is.Equal(b.factorAt(2050*time.Millisecond), 5.0)
	is.Equal(b.factorAt(2150*time.Millisecond), 1.0)
	is.Equal(Burst{}.factorAt(0), 1.0)
}

func TestRunAccountsForEveryRequest(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.disconnectAfter = 3
	spec := Spec{
		Entry: []string{f.address()}, Teams: testTeams(BehaviourNormal), Rate: 400, Requests: 60, Seed: 5,
		FirstTokenTarget: time.Minute, PaceTarget: time.Minute,
		Expect: fakeExpect,
	}
	res, err := Run(context.Background(), spec)
	is.NoErr(err)
	is.Equal(res.Total.Requests, 60)
	is.Equal(res.Lag.Count, int64(60))
	is.Equal(res.Total.Answered, 60)
	is.Equal(res.Faults(), 0)
	is.Equal(res.Total.Completions+res.Total.PlainAnswered, 60)
	is.Equal(res.Total.Resumes, res.Total.Completions)
	is.Equal(res.Total.Good, res.Total.Completions)
	is.Equal(int(f.plainRequests.Load()), res.Total.PlainAnswered)
}

func TestPlainRunsAreChecked(t *testing.T) {
	is := is.New(t)
	answered := Record{Outcome: OutcomeAnswered}
	refused := Record{Outcome: OutcomeRefused, Code: verdict.CodeOverloaded}
	is.Equal(checkRuns(answered, 1), FaultNone)
	is.Equal(checkRuns(answered, 2), FaultDoubled)
	is.Equal(checkRuns(answered, 0), FaultLost)
	is.Equal(checkRuns(refused, 0), FaultNone)
	is.Equal(checkRuns(refused, 1), FaultWrong)
}

func TestKeyThatRanTwiceIsDoubled(t *testing.T) {
	is := is.New(t)
	a := newCollector(Spec{Teams: testTeams(BehaviourNormal), Duration: time.Second}.withDefaults())
	a.add(Record{Plain: true, Key: "a", Outcome: OutcomeAnswered})
	a.add(Record{Plain: true, Key: "b", Outcome: OutcomeAnswered})
	a.checkRuns(map[string]int{"a": 2, "b": 1})
	is.Equal(a.result(time.Second).Faults(), 1)
	is.Equal(a.result(time.Second).Total.Doubled, 1)
}

func TestWarmupIsExcludedButItsFaultsCount(t *testing.T) {
	is := is.New(t)
	a := newCollector(Spec{Teams: testTeams(BehaviourNormal), Warmup: time.Second, Duration: 3 * time.Second}.withDefaults())
	a.add(Record{At: 0, Outcome: OutcomeAnswered, Fault: FaultDoubled})
	a.add(Record{At: 2 * time.Second, Outcome: OutcomeAnswered, FirstToken: time.Millisecond})
	a.add(Record{At: 2 * time.Second, Outcome: OutcomeAnswered, FirstToken: time.Second})
	res := a.result(4 * time.Second)
	is.Equal(res.Total.Requests, 2)
	is.Equal(res.Total.Doubled, 1)
	is.Equal(res.Total.Good, 1)
	is.Equal(res.Total.GoodputPerSecond, 0.5)
}

func TestSpecErrorsNameTheTeam(t *testing.T) {
	is := is.New(t)
	spec := Spec{Entry: []string{"x"}, Rate: 1, Requests: 1, Teams: []Team{{Name: "kuryk", Behaviour: "odd", Profile: Bunker()}}}
	is.Equal(spec.Validate().Error(), `load: team kuryk: unknown behaviour "odd"`)
}
