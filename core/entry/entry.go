// Package entry computes the answer to callers that request the system's
// addresses, and plans when a leaving daemon may close: no caller that cached an
// answer for its lifetime may be sent to a closed daemon.
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

// Bounds of an address's weight.
const (
	MinWeight = 25
	MaxWeight = 100
)

// Config sets the bounds of answers.
type Config struct {
	// Lifetime is how long a caller may cache an answer.
	Lifetime time.Duration
	// MinLifetime is the minimum lifetime, if an announced stop shortens it.
	MinLifetime time.Duration
	// MaxAddresses is the maximum number of addresses in an answer.
	MaxAddresses int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Lifetime: 10 * time.Second, MinLifetime: time.Second, MaxAddresses: 6}
}

// Candidate is a daemon in the view of the answering daemon.
type Candidate struct {
	Daemon  id.Daemon
	Domain  id.Domain
	Address string
	State   member.State
	// InFlight is the number of requests that the daemon is serving.
	InFlight int
	// StopsIn is the time until an announced stop; zero if none is announced.
	StopsIn time.Duration
}

// Address is one address of an answer.
type Address struct {
	Daemon  id.Daemon
	Domain  id.Domain
	Address string
	// Weight is the relative share of callers that should choose the address.
	Weight int
}

// Answer lists the addresses that a caller should use, in order of preference.
type Answer struct {
	Addresses []Address
	Lifetime  time.Duration
}

// NewAnswer computes an answer from the daemons in view; self is the answering daemon.
// The first address is drawn by weight from all hosts, so that callers spread
// evenly. Each further address comes from a failure domain used least so far, so
// that a caller that tries the next address survives the loss of a domain.
func NewAnswer(cfg Config, view []Candidate, self id.Daemon, rng *rand.Rand) Answer {
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

// selectCandidates returns the alive daemons, and the partitioned ones as well if
// self is the only alive daemon. Without alive daemons it returns the suspect ones,
// and without these self, which is running since it answers.
func selectCandidates(cfg Config, view []Candidate, self id.Daemon) []Candidate {
	alive := inState(cfg, view, member.Alive)
	if len(alive) == 1 && alive[0].Daemon == self {
		// A daemon that is partitioned from most of the fleet can't determine
		// which daemons are alive. Callers may still reach the others.
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

// inState returns the candidates in a state that have an address and whose
// announced stop, if any, is more than MinLifetime away.
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

// answerLifetime returns cfg.Lifetime, shortened to the first announced stop among
// the chosen, but at least cfg.MinLifetime.
func answerLifetime(cfg Config, chosen []Candidate) time.Duration {
	life := cfg.Lifetime
	for _, c := range chosen {
		if c.StopsIn > 0 {
			life = min(life, c.StopsIn)
		}
	}
	return max(life, cfg.MinLifetime)
}

// computeWeights reduces a host's weight as its requests in flight exceed the mean.
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

// drawWeighted draws an index by weight from the candidates that are not taken and
// whose domain is used least.
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
	panic("entry: the drawn number exceeds the sum of the weights")
}

// FromView converts a membership view to candidates.
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
