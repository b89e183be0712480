// Package calls replays loads of plain calls against a service's endpoints, without sockets
// and clocks: callers at many daemons, endpoints with slots and a bounded queue, and three
// ways to bring the two together. The same seed gives the same arrivals and the same work
// for each way.
package calls

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Team is one team's part of a load.
type Team struct {
	Name id.Team
	// PerSecond is its usual number of calls a second.
	PerSecond float64
	// Weight is its share of the service; Priority is that of its calls.
	Weight   float64
	Priority int
}

// Burst multiplies the calls of a team, or of all teams if Team is empty, for a time.
type Burst struct {
	Team    id.Team
	At, For time.Duration
	Factor  float64
}

// Wave lets the load swing around its usual value, by a share of it.
type Wave struct {
	Period time.Duration
	Share  float64
}

// Load is a pattern of arrivals.
type Load struct {
	Length time.Duration
	Teams  []Team
	Wave   Wave
	Bursts []Burst
	// Work is the mean time that an endpoint takes for a call; Spread is the standard
	// deviation of its logarithm, and MaxFactor bounds it as a multiple of the mean.
	Work              time.Duration
	Spread, MaxFactor float64
}

// arrival is one caller's call.
type arrival struct {
	at     time.Duration
	team   *Team
	work   time.Duration
	daemon int
}

// arrivals draws the arrivals of a load at a number of daemons.
func (l *Load) arrivals(rng *rand.Rand, daemons int) []arrival {
	var out []arrival
	for i := range l.Teams {
		t := &l.Teams[i]
		most := t.PerSecond * l.largest(t.Name)
		for at := l.next(rng, 0, most); at < l.Length; at = l.next(rng, at, most) {
			if rng.Float64()*most < t.PerSecond*l.factor(t.Name, at) {
				out = append(out, arrival{at: at, team: t, work: l.work(rng), daemon: rng.IntN(daemons)})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (l *Load) next(rng *rand.Rand, at time.Duration, perSecond float64) time.Duration {
	return at + time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second))
}

// factor is the load of a team at a time, relative to its usual one.
func (l *Load) factor(team id.Team, at time.Duration) float64 {
	f := 1.0
	if l.Wave.Period > 0 {
		f += l.Wave.Share * math.Sin(2*math.Pi*float64(at)/float64(l.Wave.Period))
	}
	for _, b := range l.Bursts {
		if (b.Team == "" || b.Team == team) && at >= b.At && at < b.At+b.For {
			f *= b.Factor
		}
	}
	return f
}

// largest bounds factor.
func (l *Load) largest(team id.Team) float64 {
	f := 1 + l.Wave.Share
	for _, b := range l.Bursts {
		if b.Team == "" || b.Team == team {
			f *= max(1, b.Factor)
		}
	}
	return f
}

func (l *Load) work(rng *rand.Rand) time.Duration {
	factor := math.Exp(l.Spread*rng.NormFloat64() - l.Spread*l.Spread/2)
	return time.Duration(min(factor, l.MaxFactor) * float64(l.Work))
}
