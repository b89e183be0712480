package concurrency

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// The ways of bounding the requests in flight that docs/design/learned-limits.md compares.
// All take the pace from a Learner, so that they differ only in the limit.

// fixedLimit is a share of the slots.
type fixedLimit struct {
	*Learner
	share float64
}

func (f fixedLimit) Limit(_ time.Duration, e id.Endpoint) int {
	return max(1, int(f.share*float64(f.endpoints[e].Slots)))
}

// alikeSlots is what there was before: all slots, and all endpoints are thought alike.
type alikeSlots struct{ *Learner }

func (f alikeSlots) Limit(_ time.Duration, e id.Endpoint) int { return f.endpoints[e].Slots }

func (f alikeSlots) Expected(_ time.Duration, e id.Endpoint, inFlight int) time.Duration {
	return work * time.Duration(1+inFlight)
}

// gradient lowers the limit by the ratio of the least time in service to the current one.
type gradient struct {
	*Learner
	limits  map[id.Endpoint]float64
	floor   map[id.Endpoint]float64
	current map[id.Endpoint]float64
}

func newGradient() *gradient {
	m := func() map[id.Endpoint]float64 { return map[id.Endpoint]float64{} }
	return &gradient{Learner: New(Options{}), limits: m(), floor: m(), current: m()}
}

func (g *gradient) Limit(_ time.Duration, e id.Endpoint) int {
	if g.limits[e] == 0 {
		return g.endpoints[e].Slots
	}
	return max(1, int(g.limits[e]))
}

func (g *gradient) Record(now time.Duration, s Sample) {
	g.Learner.Record(now, s)
	e, took := s.Endpoint, s.Took.Seconds()
	if g.limits[e] == 0 {
		g.limits[e], g.floor[e], g.current[e] = float64(g.endpoints[e].Slots), took, took
	}
	g.current[e] += 0.05 * (took - g.current[e])
	g.floor[e] += 0.002 * (took - g.floor[e])
	g.floor[e] = min(g.floor[e], g.current[e])
	ratio := min(1, max(0.5, 1.5*g.floor[e]/g.current[e]))
	next := g.limits[e]*ratio + math.Sqrt(g.limits[e])/4
	g.limits[e] += 0.1 * (next - g.limits[e])
	g.limits[e] = min(max(1, g.limits[e]), float64(g.endpoints[e].Slots))
}

// aimd halves the limit at a refusal or an answer behind the target and raises it by one
// in a round of answers in time.
type aimd struct {
	*Learner
	limits map[id.Endpoint]float64
	cutAt  map[id.Endpoint]time.Duration
}

func newAIMD() *aimd {
	return &aimd{Learner: New(Options{}), limits: map[id.Endpoint]float64{}, cutAt: map[id.Endpoint]time.Duration{}}
}

func (a *aimd) Limit(_ time.Duration, e id.Endpoint) int {
	if a.limits[e] == 0 {
		return a.endpoints[e].Slots
	}
	return max(1, int(a.limits[e]))
}

func (a *aimd) Record(now time.Duration, s Sample) {
	a.Learner.Record(now, s)
	e, slots := s.Endpoint, float64(a.endpoints[s.Endpoint].Slots)
	if a.limits[e] == 0 {
		a.limits[e] = slots
	}
	if s.Outcome == Completed && s.Took <= target {
		a.limits[e] = min(slots, a.limits[e]+1/a.limits[e])
		return
	}
	if now-s.Took >= a.cutAt[e] {
		a.limits[e], a.cutAt[e] = max(1, a.limits[e]/2), now
	}
}

// perfect knows the servers.
type perfect struct {
	*Learner
	servers []*server
}

func (p perfect) server(e id.Endpoint) *server {
	for _, s := range p.servers {
		if s.name == e {
			return s
		}
	}
	return nil
}

// knee is the number in flight that completes most a second.
func (s *server) knee() int {
	best, bestRate := 1, 0.0
	for n := 1; n <= s.slots; n++ {
		if rate := float64(n) / s.crowd(n); rate > bestRate+1e-9 {
			best, bestRate = n, rate
		}
	}
	return best
}

func (p perfect) Limit(_ time.Duration, e id.Endpoint) int { return p.server(e).knee() }

func (p perfect) Expected(now time.Duration, e id.Endpoint, inFlight int) time.Duration {
	s := p.server(e)
	return time.Duration(1.18 * float64(work) * s.slower(now) * s.crowd(min(inFlight, s.slots)))
}
