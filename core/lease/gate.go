package lease

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Passage is what an OrderGate allows towards one endpoint.
type Passage uint8

const (
	// Closed: this process may not give orders.
	Closed Passage = iota
	// Wait: an order of the former holder may still arrive there.
	Wait
	// ReadBack: read the endpoint's state first, then call Repaired.
	ReadBack
	// Open: orders may go out.
	Open
)

// String names the passage.
func (p Passage) String() string {
	switch p {
	case Closed:
		return "closed"
	case Wait:
		return "wait"
	case ReadBack:
		return "read-back"
	case Open:
		return "open"
	default:
		return "invalid"
	}
}

// GateConfig sets an OrderGate's time.
type GateConfig struct {
	// LongestOrder is the longest that an order may be on its way: the
	// sender's timeout plus what networks and endpoints may hold it back.
	LongestOrder time.Duration
	// LapseCovers says that a lease lapses for others so long after its holder
	// stopped trusting it that no order of the holder can still be on its way.
	LapseCovers bool
}

// OrderGate says when the orders of a duty's holder may go to an endpoint. An
// endpoint that checks fencing numbers refuses old orders itself. Towards one
// that does not, a new holder waits until no order of the former holder can
// still arrive, and reads the state back before it orders.
type OrderGate struct {
	cfg   GateConfig
	lease *Lease
	// quiet is when the last order of the former holder can have arrived.
	waitUntil time.Duration
	fence     uint64
	// read holds the endpoints whose state was read back under this fence.
	readBack map[id.Endpoint]bool
}

// NewOrderGate returns the gate of a lease.
func NewOrderGate(cfg GateConfig, l *Lease) *OrderGate {
	return &OrderGate{cfg: cfg, lease: l, readBack: map[id.Endpoint]bool{}}
}

// Acquired starts a new holding. The former holder stopped trusting its lease
// before this process could take it, so its last order was sent before now; a
// former holder that released had stopped as well, but its last order may
// still be on the way, unless it says that none is.
func (g *OrderGate) Acquired(now time.Duration, a Acquired) {
	g.fence = a.Fence
	g.readBack = map[id.Endpoint]bool{}
	g.waitUntil = now + g.cfg.LongestOrder
	if a.Fence == 1 || a.Own || a.Quiet || (a.Lapsed && g.cfg.LapseCovers) {
		g.waitUntil = now
	}
}

// Allow tells what may go to an endpoint right now. It must be asked right
// before each order.
func (g *OrderGate) Allow(now time.Duration, endpoint id.Endpoint, checksFencing bool) Passage {
	switch {
	case !g.lease.Valid(now) || g.lease.Fence() != g.fence:
		return Closed
	case checksFencing:
		return Open
	case now < g.waitUntil:
		return Wait
	case !g.readBack[endpoint]:
		return ReadBack
	default:
		return Open
	}
}

// Repaired notes that the endpoint's state was read after the wait; what
// differs from what is desired is ordered anew, which opens the gate for it.
func (g *OrderGate) Repaired(now time.Duration, endpoint id.Endpoint) {
	if now >= g.waitUntil {
		g.readBack[endpoint] = true
	}
}

// Fence returns the fencing number that orders must carry.
func (g *OrderGate) Fence() uint64 { return g.fence }
