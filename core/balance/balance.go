// Package balance chooses the endpoint of a plain call: the one with the lowest
// estimated latency, which grows with its calls in flight. Endpoints that fail
// repeatedly, are unreachable or are full are ejected for a while. Each daemon
// decides from its own calls alone. The package is deterministic for a given
// random source.
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
	// initialLatency is the first latency estimate of an endpoint, so that new
	// endpoints are neither avoided nor flooded.
	initialLatency = 20 * time.Millisecond
	// failurePenalty is added to the latency sample of a failed call: after two
	// failures in a row an endpoint is the last choice.
	failurePenalty = 500 * time.Millisecond
	// ejectAfter is the number of failures in a row that eject an endpoint.
	ejectAfter = 3
	// ejectMin is the first ejection time; it doubles with each further ejection,
	// up to ejectMax.
	ejectMin = time.Second
	ejectMax = 8 * time.Second
	// unreachableEjection is how long an endpoint that could not be reached is
	// ejected.
	unreachableEjection = 500 * time.Millisecond
	// fullEjection is how long an endpoint that refused a call for lack of capacity
	// is ejected.
	fullEjection = 50 * time.Millisecond
	// jitter is the largest random addition to an estimate, as a fraction of it, so
	// that the daemons don't all choose the same endpoint.
	jitter = 0.3
	// estimateDecay is the time constant with which an estimate returns to
	// initialLatency while the endpoint gets no calls. Without it, an endpoint that
	// was slow once would never be tried again.
	estimateDecay = 4 * time.Second
	// crossDomainCost is added for an endpoint in another failure domain.
	crossDomainCost = 3 * time.Millisecond
)

// Outcome is the result of a call as far as it concerns its endpoint.
type Outcome uint8

// The outcomes.
const (
	// OK: the endpoint answered.
	OK Outcome = iota + 1
	// Failed: it answered with an error of its own, or broke the connection.
	Failed
	// Full: it refused the call for lack of capacity.
	Full
	// Unreachable: no connection to it could be opened or used, or another endpoint
	// has its address.
	Unreachable
	// Slow: it didn't answer within the call's own time limit, which may be short.
	Slow
	// Neutral: the call ended for a reason that doesn't concern the endpoint.
	Neutral
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
	// sampledAt is when latency got its last sample.
	sampledAt    time.Duration
	failures     int
	ejection     time.Duration
	ejectedUntil time.Duration
}

// New returns a Balancer for a daemon in the given failure domain.
func New(domain id.Domain, rng *rand.Rand) *Balancer {
	return &Balancer{domain: domain, rng: rng, endpoints: map[id.Endpoint]*endpoint{}, services: map[id.Service][]*endpoint{}}
}

// Configure sets the registered endpoints. The state of endpoints that are still
// registered is kept.
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

// Pick chooses an endpoint for a call of a service and counts the call as in
// flight until Done. Endpoints to avoid are never chosen, ejected ones only if
// there is no other. ok is false if the service has no endpoint that takes work.
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

// Begin counts a call that was not chosen by Pick as in flight at an endpoint until Done.
func (b *Balancer) Begin(name id.Endpoint) {
	if e := b.endpoints[name]; e != nil {
		e.inFlight++
	}
}

// ejectedCost is added for ejected endpoints: they are chosen only if all are
// ejected.
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

// Done records the end of a call that Pick counted.
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

// Silent records that a call which Pick counted has taken so long without an answer. The
// call stays in flight until Done.
func (b *Balancer) Silent(now time.Duration, name id.Endpoint, took time.Duration) {
	if e := b.endpoints[name]; e != nil {
		e.addSample(now, took)
	}
}

// estimate is the average latency, decayed towards initialLatency by the time
// since the last sample.
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

// Slowest returns all endpoints by average latency, the slowest first.
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
