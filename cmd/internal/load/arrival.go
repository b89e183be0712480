package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request that is due at a time of the run.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration
	// Team is the index of the team.
	Team int
	// Number counts within the team.
	Number int
	// Plain says that it calls the plain service.
	Plain bool
	// Key is the idempotency key of a non-idempotent plain call, else empty.
	Key string
	// PromptTokens is the length of a completion's prompt.
	PromptTokens int
	// Prefix is the rank of the shared prefix it begins with.
	Prefix int
	// TextSeed seeds the unshared rest of the prompt.
	TextSeed uint64
}

// Schedule draws all arrivals of a run, in the order of time. Each team draws
// from a source of its own, so that the arrivals of one don't depend on the
// behaviour of another.
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

// horizon is the time up to which arrivals are drawn.
func (s Spec) horizon() time.Duration {
	if s.Requests <= 0 {
		return s.Duration
	}
	// Twice the mean time plus a margin holds enough arrivals but for a
	// probability that vanishes; Schedule cuts what is too much.
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

// interval draws the time to the next arrival of a Poisson process.
func interval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// factorAt is the multiple of the rate at a time.
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
