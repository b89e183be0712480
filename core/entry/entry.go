// Package entry makes the answer to callers who ask which of the system's
// addresses to use, and plans when a daemon that leaves may close: no caller
// that kept an answer for its lifetime may find it gone.
package entry

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
)

// Bounds of a weight.
const (
	MinWeight = 25
	MaxWeight = 100
)

// Config sets the answers.
type Config struct {
	// Lifetime is how long a caller may keep an answer.
	Lifetime time.Duration
	// MinLifetime bounds it from below when a planned stop is near.
	MinLifetime time.Duration
	// MaxAddresses bounds an answer.
	MaxAddresses int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Lifetime: 10 * time.Second, MinLifetime: time.Second, MaxAddresses: 6}
}

// Candidate is one daemon as the answering one sees it.
type Candidate struct {
	Daemon  id.Daemon
	Domain  id.Domain
	Address string
	State   member.State
	// InFlight counts the requests it serves.
	InFlight int
	// StopsIn is the time until an announced stop; zero when none is.
	StopsIn time.Duration
}

// Address is one address of an answer.
type Address struct {
	Daemon  id.Daemon
	Domain  id.Domain
	Address string
	// Weight is the share of callers that should choose it.
	Weight int
}

// Answer tells a caller which addresses to use, best first.
type Answer struct {
	Addresses []Address
	Lifetime  time.Duration
}

// Make answers a caller from the daemons in view; self is the answering one.
// The first address is drawn by weight over all hosts, so that callers spread
// evenly; each further one comes from a failure domain used least so far, so
// that a caller who tries the next survives the loss of one.
func Make(cfg Config, view []Candidate, self id.Daemon, rng *rand.Rand) Answer {
	chosen := selectCandidates(cfg, view, self)
	slices.SortFunc(chosen, func(a, b Candidate) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	weights := computeWeights(chosen)
	answer := Answer{Lifetime: answerLifetime(cfg, chosen)}
	used := map[id.Domain]int{}
	taken := make([]bool, len(chosen))
	for range min(cfg.MaxAddresses, len(chosen)) {
		i := drawWeighted(chosen, weights, taken, used, rng)
		taken[i] = true
		used[chosen[i].Domain]++
		c := chosen[i]
		answer.Addresses = append(answer.Addresses, Address{Daemon: c.Daemon, Domain: c.Domain, Address: c.Address, Weight: weights[i]})
	}
	return answer
}

// choose keeps the alive; where this daemon is the only one, the partitioned as
// well; without any, the suspect; without those, this daemon, which answers and
// so runs.
func selectCandidates(cfg Config, view []Candidate, self id.Daemon) []Candidate {
	alive := inState(cfg, view, member.Alive)
	if len(alive) == 1 && alive[0].Daemon == self {
		// Cut off from most of the fleet, this daemon can't tell who lives:
		// callers may well reach the others.
		alive = append(alive, inState(cfg, view, member.Partitioned)...)
	}
	if len(alive) > 0 {
		return alive
	}
	if suspect := inState(cfg, view, member.Suspect); len(suspect) > 0 {
		return suspect
	}
	for _, c := range view {
		if c.Daemon == self {
			return []Candidate{c}
		}
	}
	return nil
}

// inState lists the candidates in a state that have an address and don't stop
// at once.
func inState(cfg Config, view []Candidate, state member.State) []Candidate {
	var out []Candidate
	for _, c := range view {
		soon := c.StopsIn > 0 && c.StopsIn <= cfg.MinLifetime
		if c.State == state && c.Address != "" && !soon {
			out = append(out, c)
		}
	}
	return out
}

// lifetime ends before the first announced stop of a host that is named.
func answerLifetime(cfg Config, chosen []Candidate) time.Duration {
	life := cfg.Lifetime
	for _, c := range chosen {
		if c.StopsIn > 0 {
			life = min(life, c.StopsIn)
		}
	}
	return max(life, cfg.MinLifetime)
}

// weigh gives a host less the more it serves beyond the mean.
func computeWeights(chosen []Candidate) []int {
	total := 0
	for _, c := range chosen {
		total += c.InFlight
	}
	mean := 1 + float64(total)/float64(max(1, len(chosen)))
	out := make([]int, len(chosen))
	for i, c := range chosen {
		w := MaxWeight * math.Min(1, mean/(1+float64(c.InFlight)))
		out[i] = max(MinWeight, int(w))
	}
	return out
}

// draw picks by weight among those not taken whose domain is used least.
func drawWeighted(chosen []Candidate, weights []int, taken []bool, used map[id.Domain]int, rng *rand.Rand) int {
	fewest := math.MaxInt
	for i, c := range chosen {
		if !taken[i] {
			fewest = min(fewest, used[c.Domain])
		}
	}
	total := 0
	for i, c := range chosen {
		if !taken[i] && used[c.Domain] == fewest {
			total += weights[i]
		}
	}
	left := rng.IntN(total)
	for i, c := range chosen {
		if taken[i] || used[c.Domain] != fewest {
			continue
		}
		if left < weights[i] {
			return i
		}
		left -= weights[i]
	}
	panic("entry: the weights of the draw do not add up")
}

// FromView turns a membership's view into candidates.
func FromView(view []member.Entry) []Candidate {
	out := make([]Candidate, len(view))
	for i, e := range view {
		address := e.CallerAddress
		if address == "" {
			address = e.Address
		}
		out[i] = Candidate{Daemon: e.Process.Daemon, Domain: e.Domain, Address: address, State: e.State, InFlight: e.InFlight}
	}
	return out
}
