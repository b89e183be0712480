package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// ratio is how many times longer a call is expected to take at one server than at another.
func (f *fleet) ratio(now time.Duration, a, b *server) float64 {
	return float64(f.limiter.Expected(now, a.name, 1)) / float64(f.limiter.Expected(now, b.name, 1))
}

// learned is an endpoint's limit outside of trials.
func (f *fleet) learned(now time.Duration, s *server) int {
	l := f.limiter.(*Learner)
	return l.settled(now, l.endpoints[s.name])
}

func three(slower ...float64) []*server {
	var servers []*server
	for i, factor := range slower {
		servers = append(servers, newServer(i, 6, factor))
	}
	return servers
}

func within(x, least, most float64) bool { return least <= x && x <= most }

// Load: 130 calls a second at endpoints of which one takes 1.5 times as long, one 3 times.
func TestUnequalSpeedsAreFoundWithinThreeSeconds(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := three(1, 1.5, 3)
		f := newFleet(New(Options{}), 130, s...)
		f.seed(seed)
		f.run(0, 3*time.Second)
		is.True(within(f.ratio(3*time.Second, s[1], s[0]), 1.1, 2.1))
		is.True(within(f.ratio(3*time.Second, s[2], s[0]), 2, 4.5))
	}
}

// Load: 150 calls a second, the fastest endpoint turns three times slower, and back.
func TestAChangeOfPaceIsFollowedWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 1)
	s[0].slower = func(now time.Duration) float64 {
		return changes(1, 5*time.Second, 3)(now) / changes(1, 10*time.Second, 3)(now)
	}
	f := newFleet(New(Options{}), 150, s...)
	f.run(0, 7*time.Second)
	is.True(within(f.ratio(7*time.Second, s[0], s[1]), 2.2, 3.8))
	f.run(7*time.Second, 12*time.Second)
	is.True(within(f.ratio(12*time.Second, s[0], s[1]), 0.7, 1.4))
}

// Load: 180 calls a second, one endpoint takes longer than its calls grow from half of its
// slots on.
func TestTheKneeIsFoundWithinThreeSeconds(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 1)
	s[2].crowd = kneeAt(3)
	f := newFleet(New(Options{}), 180, s...)
	f.run(0, 3*time.Second)
	limit := f.learned(3*time.Second, s[2])
	is.True(limit >= 2)
	is.True(limit <= 4)
	is.Equal(f.learned(3*time.Second, s[0]), 6)
	is.Equal(f.learned(3*time.Second, s[1]), 6)
}

// Load: one call takes a minute at an endpoint where the others take 60 ms.
func TestOneSlowSampleDoesNotMatter(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 1)
	f := newFleet(New(Options{}), 150, s...)
	f.run(0, 5*time.Second)
	before := f.limiter.Expected(5*time.Second, s[0].name, 6)
	f.limiter.Record(5*time.Second, Sample{Endpoint: s[0].name, Took: time.Minute, InFlight: 6, Outcome: Completed})
	after := f.limiter.Expected(5*time.Second, s[0].name, 6)
	is.True(float64(after) < 1.15*float64(before))
	is.Equal(f.learned(5*time.Second, s[0]), 6)
}

// Load: 150 calls a second, an endpoint takes five times as long for one second.
func TestASlowSecondIsForgottenWithinTwo(t *testing.T) {
	for _, crowd := range []func(int) float64{uncrowded, kneeAt(5)} {
		is := is.New(t)
		s := three(1, 1, 1)
		s[0].crowd = crowd
		s[0].slower = func(now time.Duration) float64 {
			return changes(1, 5*time.Second, 5)(now) / changes(1, 6*time.Second, 5)(now)
		}
		f := newFleet(New(Options{}), 150, s...)
		f.run(0, 8*time.Second)
		is.True(f.learned(8*time.Second, s[0]) >= 4)
		is.True(f.ratio(8*time.Second, s[0], s[1]) < 1.4)
	}
}

// Load: 120 calls a second, one of three endpoints takes ten times as long.
func TestAnEndpointTenTimesSlowerGetsFewCalls(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 10)
	f := newFleet(New(Options{}), 120, s...)
	f.from = 3 * time.Second
	f.run(0, 20*time.Second)
	is.True(f.ratio(20*time.Second, s[2], s[0]) > 3)
	is.True(f.counts.share() > 0.97)
}

// Load: 150 and 190 calls a second, an endpoint is five times slower every other second.
func TestAnEndpointThatSlowsDownByTurnsIsUsedAsFarAsItServes(t *testing.T) {
	byTurns := func() []*server {
		s := three(1, 1, 1)
		s[0].slower = func(now time.Duration) float64 {
			if now/time.Second%2 == 1 {
				return 5
			}
			return 1
		}
		return s
	}
	for _, rate := range []float64{150, 190} {
		is := is.New(t)
		l := load{rate: rate, servers: byTurns}
		learned, best := 0.0, 0.0
		for seed := range uint64(4) {
			learned += play(l, ours, seed).share()
			best += play(l, knowing, seed).share()
		}
		t.Logf("%.0f calls a second: in time %.3f, with perfect weights %.3f", rate, learned/4, best/4)
		is.True(learned >= 0.95*best)
	}
}

// Load: 900 calls a second at 18 endpoints, one of which takes three times as long and
// slows down from half of its slots on.
func TestOneSlowEndpointAmongManyIsFound(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 3)
	slow := s[17]
	slow.crowd = kneeAt(3)
	f := newFleet(New(Options{}), 900, s...)
	f.run(0, 3*time.Second)
	for _, other := range s[:17] {
		is.True(f.ratio(3*time.Second, slow, other) > 2)
		is.Equal(f.learned(3*time.Second, other), 6)
	}
}

// Load: an endpoint of a known pace starts again.
func TestANewIncarnationIsLearnedAnew(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 1)
	s[2].slower, s[2].crowd = steady(3), kneeAt(3)
	f := newFleet(New(Options{}), 120, s...)
	f.run(0, 5*time.Second)
	s[2].name += "#2"
	s[2].slower, s[2].crowd = steady(1), uncrowded
	f.configure(5 * time.Second)
	is.Equal(f.learned(5*time.Second, s[2]), 6)
	is.True(within(f.ratio(5*time.Second, s[2], s[0]), 0.7, 1.4))
	f.run(5*time.Second, 8*time.Second)
	is.True(within(f.ratio(8*time.Second, s[2], s[0]), 0.7, 1.4))
}

// Load: none for half a minute, behind a load that has shown a slow endpoint.
func TestWhatWasLearnedOfAnIdleEndpointFades(t *testing.T) {
	is := is.New(t)
	s := three(1, 1, 3)
	s[2].crowd = kneeAt(3)
	f := newFleet(New(Options{}), 150, s...)
	f.run(0, 5*time.Second)
	is.True(f.ratio(5*time.Second, s[2], s[0]) > 2)
	later := 35 * time.Second
	is.Equal(f.learned(later, s[2]), 6)
	is.True(within(f.ratio(later, s[2], s[0]), 0.9, 1.1))
}
