package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the arrival time, measured from the start of the run.
	At time.Duration
	// Team is the index of the team.
	Team int
	// Number is the sequence number within the team, from 0.
	Number int
	// Plain is set for a call to the plain service.
	Plain bool
	// Key is the idempotency key of a non-idempotent plain call, otherwise empty.
	Key string
	// PromptTokens is the length of a completion's prompt, in tokens.
	PromptTokens int
	// Prefix is the rank of the shared prefix with which the prompt begins.
	Prefix int
	// TextSeed seeds the text of the prompt after the shared prefix.
	TextSeed uint64
}

// Schedule draws all arrivals of a run, sorted by time. Each team has its own
// random source, so that the arrivals of a team don't depend on the behaviour of
// another team.
func Schedule(spec Spec) []Arrival {
	spec = spec.withDefaults()
	total := totalWeight(spec.Teams)
	end := spec.horizon()
	var all []Arrival
	for i, team := range spec.Teams {
		rate := spec.Rate * team.Weight / total
		all = append(all, teamArrivals(spec, i, team, rate, end)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int {
		if a.At != b.At {
			return int(a.At - b.At)
		}
		return a.Team - b.Team
	})
	if spec.Requests > 0 && len(all) > spec.Requests {
		all = all[:spec.Requests]
	}
	return all
}

// horizon returns the time up to which arrivals are drawn.
func (s Spec) horizon() time.Duration {
	if s.Requests <= 0 {
		return s.Duration
	}
	// Twice the mean time plus a margin contains enough arrivals except with a
	// negligible probability; Schedule truncates the surplus.
	mean := float64(s.Requests) / s.Rate
	return time.Duration((2*mean + 10/s.Rate) * float64(time.Second))
}

func totalWeight(teams []Team) float64 {
	var total float64
	for _, t := range teams {
		total += t.Weight
	}
	return total
}

func teamArrivals(spec Spec, index int, team Team, rate float64, end time.Duration) []Arrival {
	if rate <= 0 {
		return nil
	}
	if team.Behaviour == BehaviourFlood {
		rate *= FloodFactor
	}
	rng := rand.New(rand.NewPCG(spec.Seed, uint64(index)+1))
	var out []Arrival
	var at time.Duration
	for {
		at += interval(rng, rate*spec.Burst.factorAt(at))
		if at >= end {
			return out
		}
		out = append(out, drawArrival(rng, spec.Seed, index, len(out), team.Profile, at))
	}
}

// interval draws the time to the next arrival of a Poisson process with a rate
// in requests per second.
func interval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// factorAt returns the factor of the rate at a time of the run.
func (b Burst) factorAt(at time.Duration) float64 {
	if b.Every <= 0 || b.Factor <= 0 {
		return 1
	}
	if at%b.Every < b.Length {
		return b.Factor
	}
	return 1
}

func drawArrival(rng *rand.Rand, seed uint64, team, number int, p Profile, at time.Duration) Arrival {
	a := Arrival{At: at, Team: team, Number: number}
	a.Plain = rng.Float64() < p.PlainShare
	keyed := rng.Float64() < p.NonIdempotentShare
	a.PromptTokens = p.promptTokens(rng)
	a.Prefix = p.prefixRank(rng)
	a.TextSeed = rng.Uint64()
	if a.Plain && keyed {
		a.Key = fmt.Sprintf("%x-%d-%d", seed, team, number)
	}
	return a
}
