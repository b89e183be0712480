// Package balance chooses the endpoint of a plain call. Each daemon decides for
// itself, from its own calls: the least loaded of a few, away from endpoints
// that fail or are slow. It is deterministic.
package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
)

const (
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.2
	// firstLatency is the first estimate of a call, so that new endpoints are
	// neither shunned nor flooded.
	initialLatency = 20 * time.Millisecond
	// failurePenalty is what a failure adds to an endpoint's average latency:
	// after two in a row it is the last choice.
	failurePenalty = 500 * time.Millisecond
	// ejectAfter failures in a row keep an endpoint out.
	ejectAfter = 3
	// ejectFirst and ejectMost bound how long; it doubles.
	ejectMin = time.Second
	ejectMax = 8 * time.Second
	// unreachableFor keeps an endpoint out that took no connection.
	unreachableEjection = 500 * time.Millisecond
	// fullFor keeps an endpoint out that refused for lack of room.
	fullEjection = 50 * time.Millisecond
	// spread is how much of an estimate is left to chance, so that the daemons
	// don't all choose the same endpoint.
	jitter = 0.3
	// relaxAfter is the time in which an estimate goes back most of the way to
	// the first one while the endpoint gets no calls: else one that was slow
	// once would never be tried again.
	estimateDecay = 4 * time.Second
	// farCost is what another failure domain costs.
	crossDomainCost = 3 * time.Millisecond
)

// Outcome is how a call ended, as far as it tells of its endpoint.
type Outcome uint8

// The outcomes.
const (
	// OK: the endpoint answered.
	OK Outcome = iota + 1
	// Failed: it answered with an error of its own, or broke off.
	Failed
	// Full: it refused for lack of room.
	Full
	// Unreachable: it took no connection, or went silent.
	Unreachable
	// Slow: it gave no answer within the call's own time limit, which may be
	// short.
	Slow
	// Withdrawn: the call ended for another reason and tells nothing.
	Withdrawn
)

// Balancer chooses among the endpoints of all services. It is not safe for
// concurrent use.
type Balancer struct {
	domain    id.Domain
	rng       *rand.Rand
	endpoints map[id.Endpoint]*endpoint
	services  map[id.Service][]*endpoint
}

type endpoint struct {
	registry.Endpoint
	inFlight int
	latency  time.Duration
	// learnt is when latency got its last sample.
	sampledAt    time.Duration
	failures     int
	ejection     time.Duration
	ejectedUntil time.Duration
}

// New returns a Balancer for a daemon in the given failure domain.
func New(domain id.Domain, rng *rand.Rand) *Balancer {
	return &Balancer{domain: domain, rng: rng, endpoints: map[id.Endpoint]*endpoint{}, services: map[id.Service][]*endpoint{}}
}

// Configure takes the registered endpoints; what is known of those that stay
// is kept.
func (b *Balancer) Configure(entries []registry.Endpoint) {
	old := b.endpoints
	b.endpoints = make(map[id.Endpoint]*endpoint, len(entries))
	b.services = map[id.Service][]*endpoint{}
	for _, entry := range entries {
		e := old[entry.Name]
		if e == nil {
			e = &endpoint{latency: initialLatency}
		}
		e.Endpoint = entry
		b.endpoints[entry.Name] = e
		b.services[entry.Service] = append(b.services[entry.Service], e)
	}
}

// Pick chooses an endpoint for a call of a service and counts it as at work
// there, until Done. Endpoints to avoid are never taken, those that are kept out
// only if there is no other. ok is false when the service has no endpoint that takes work.
func (b *Balancer) Pick(now time.Duration, service id.Service, avoid []id.Endpoint) (chosen registry.Endpoint, ok bool) {
	var best *endpoint
	bestCost := 0.0
	for _, e := range b.services[service] {
		if e.Leaving || slices.Contains(avoid, e.Name) {
			continue
		}
		cost := b.cost(now, e)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return registry.Endpoint{}, false
	}
	best.inFlight++
	return best.Endpoint, true
}

// outCost is added for endpoints that are kept out: they are chosen only where
// all are.
const ejectedCost = 1e6

// cost estimates how long a call would take, in seconds.
func (b *Balancer) cost(now time.Duration, e *endpoint) float64 {
	share := float64(e.inFlight+1) / float64(max(1, e.Slots))
	cost := e.estimate(now).Seconds() * (1 + share)
	if e.Domain != b.domain {
		cost += crossDomainCost.Seconds()
	}
	cost *= 1 + jitter*b.rng.Float64()
	if now < e.ejectedUntil {
		cost += ejectedCost + (e.ejectedUntil - now).Seconds()
	}
	return cost
}

// Done ends a call.
func (b *Balancer) Done(now time.Duration, name id.Endpoint, took time.Duration, outcome Outcome) {
	e := b.endpoints[name]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	switch outcome {
	case OK:
		e.failures = 0
		e.ejection = 0
		e.addSample(now, took)
	case Slow:
		e.addSample(now, took)
	case Failed:
		e.failures++
		e.addSample(now, took+failurePenalty)
		if e.failures >= ejectAfter {
			e.eject(now)
		}
	case Full:
		e.ejectedUntil = max(e.ejectedUntil, now+fullEjection)
	case Unreachable:
		e.failures++
		e.addSample(now, took+failurePenalty)
		e.ejectedUntil = max(e.ejectedUntil, now+unreachableEjection)
		if e.failures >= ejectAfter {
			e.eject(now)
		}
	}
}

// estimate is the average latency, gone back to the first estimate the longer
// no sample came.
func (e *endpoint) estimate(now time.Duration) time.Duration {
	keep := math.Exp(-float64(now-e.sampledAt) / float64(estimateDecay))
	return initialLatency + time.Duration(keep*float64(e.latency-initialLatency))
}

func (e *endpoint) addSample(now, sample time.Duration) {
	e.latency = e.estimate(now)
	e.latency += time.Duration(smoothing * float64(sample-e.latency))
	e.sampledAt = now
}

func (e *endpoint) eject(now time.Duration) {
	e.ejection = min(max(2*e.ejection, ejectMin), ejectMax)
	e.ejectedUntil = now + e.ejection
	e.failures = ejectAfter - 1
}

// Available counts the endpoints of a service that take work.
func (b *Balancer) Available(now time.Duration, service id.Service) int {
	n := 0
	for _, e := range b.services[service] {
		if !e.Leaving && now >= e.ejectedUntil {
			n++
		}
	}
	return n
}

// Slowest returns the services' endpoints by average latency, the worst first,
// for status pages.
func (b *Balancer) Slowest() []id.Endpoint {
	all := make([]*endpoint, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, c *endpoint) int {
		return cmp.Or(cmp.Compare(c.latency, a.latency), cmp.Compare(a.Name, c.Name))
	})
	out := make([]id.Endpoint, len(all))
	for i, e := range all {
		out[i] = e.Name
	}
	return out
}
