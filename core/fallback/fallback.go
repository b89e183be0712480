// Package fallback decides how many calls of a plain service a daemon may choose endpoints
// for itself while the owner of the service's queue does not answer it. Each daemon has an
// equal part of the service's slots by right, so that daemons which are cut off from the
// owner serve some of their calls and leave the rest of the capacity to the others.
package fallback

import "github.com/samphirequay/samphirequay/core/id"

// Share returns how many calls one of daemons may have in flight at endpoints with slots
// slots in total: its part, rounded down, and at least one.
func Share(slots, daemons int) int {
	return max(1, slots/max(1, daemons))
}

// Gate counts the calls in flight that a daemon has chosen endpoints for itself. It is not
// safe for concurrent use.
type Gate struct {
	inFlight map[id.Service]int
}

// NewGate returns a Gate without calls.
func NewGate() *Gate { return &Gate{inFlight: map[id.Service]int{}} }

// Begin counts a call of a service; it returns false if share calls are in flight already.
func (g *Gate) Begin(service id.Service, share int) bool {
	if g.inFlight[service] >= share {
		return false
	}
	g.inFlight[service]++
	return true
}

// End ends a call that Begin has counted.
func (g *Gate) End(service id.Service) {
	g.inFlight[service]--
	if g.inFlight[service] <= 0 {
		delete(g.inFlight, service)
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
