// Package fallback decides how many calls of a plain service a daemon may choose endpoints
// for itself while the owner of the service's queue does not answer it. Each daemon has an
// equal part of the service's slots by right, so that daemons which are cut off from the
// owner serve some of their calls and leave the rest of the capacity to the others.
package fallback

import (
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
)

// Share returns how many calls one of daemons may have in flight at endpoints with slots
// slots in total: its part, rounded down, and at least one.
func Share(slots, daemons int) int {
	return max(1, slots/max(1, daemons))
}

// waitersPerCall bounds the calls that wait, as a multiple of those that may be in flight:
// with more, the last ones would wait for several others.
const waitersPerCall = 2

// Gate counts the calls in flight that a daemon has chosen endpoints for itself, and those
// that wait for one of them to end. It is not safe for concurrent use.
type Gate struct {
	inFlight map[id.Service]int
	waiting  map[id.Service][]Waiter
}

// Waiter is a call that waits; it is closed once the call may be sent.
type Waiter chan struct{}

// NewGate returns a Gate without calls.
func NewGate() *Gate {
	return &Gate{inFlight: map[id.Service]int{}, waiting: map[id.Service][]Waiter{}}
}

// Begin counts a call of a service; it returns false if share calls are in flight already.
func (g *Gate) Begin(service id.Service, share int) bool {
	if g.inFlight[service] >= share {
		return false
	}
	g.inFlight[service]++
	return true
}

// Wait lets a call for which Begin returned false wait until another one ends. It returns
// false if too many wait. The call must be ended by End or, before it may be sent, by Leave.
func (g *Gate) Wait(service id.Service, share int) (Waiter, bool) {
	if len(g.waiting[service]) >= waitersPerCall*share {
		return nil, false
	}
	w := make(Waiter)
	g.waiting[service] = append(g.waiting[service], w)
	return w, true
}

// Leave ends the wait of a call. It returns false if the call may be sent by now.
func (g *Gate) Leave(service id.Service, w Waiter) bool {
	i := slices.Index(g.waiting[service], w)
	if i < 0 {
		return false
	}
	g.setWaiting(service, slices.Delete(g.waiting[service], i, i+1))
	return true
}

// End ends a call that Begin has counted. The first call that waits takes its place.
func (g *Gate) End(service id.Service) {
	if waiting := g.waiting[service]; len(waiting) > 0 {
		close(waiting[0])
		g.setWaiting(service, slices.Delete(waiting, 0, 1))
		return
	}
	g.inFlight[service]--
	if g.inFlight[service] <= 0 {
		delete(g.inFlight, service)
	}
}

func (g *Gate) setWaiting(service id.Service, waiting []Waiter) {
	g.waiting[service] = waiting
	if len(waiting) == 0 {
		delete(g.waiting, service)
	}
}

// InFlight returns the number of calls in flight of all services.
func (g *Gate) InFlight() int {
	total := 0
	for _, n := range g.inFlight {
		total += n
	}
	return total
}
