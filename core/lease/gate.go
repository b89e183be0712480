package lease

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// GateState is the state of an OrderGate for one endpoint.
type GateState uint8

const (
	// Closed: this process may not send orders.
	Closed GateState = iota
	// Wait: an order of the former holder may still arrive at the endpoint.
	Wait
	// ReadBack: the caller must read the endpoint's state and call MarkReadBack.
	ReadBack
	// Open: this process may send orders.
	Open
)

// String returns the name of the state.
func (s GateState) String() string {
	switch s {
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

// GateConfig configures an OrderGate.
type GateConfig struct {
	// MaxOrderDelay is the maximum time that an order may be in flight: the
	// sender's timeout plus the delays of networks and endpoints.
	MaxOrderDelay time.Duration
	// LapseExceedsOrderDelay is set if the time between a holder's last trust in its
	// lease and the lapse of that lease for others is at least MaxOrderDelay, so
	// that no order of the former holder is in flight after a lapse.
	LapseExceedsOrderDelay bool
}

// OrderGate decides when the holder of a duty may send orders to an endpoint. An
// endpoint that checks fencing numbers rejects old orders itself. For an endpoint
// that does not, a new holder waits until no order of the former holder can still
// arrive, and then reads the endpoint's state back before it sends orders.
type OrderGate struct {
	cfg   GateConfig
	lease *Lease
	// waitUntil is the latest time at which an order of the former holder can
	// arrive.
	waitUntil time.Duration
	fence     uint64
	// readBack holds the endpoints whose state was read back under this fence.
	readBack map[id.Endpoint]bool
}

// NewOrderGate returns the gate for a lease.
func NewOrderGate(cfg GateConfig, l *Lease) *OrderGate {
	return &OrderGate{cfg: cfg, lease: l, readBack: map[id.Endpoint]bool{}}
}

// Acquired starts a new term of the lease. The former holder stopped trusting the
// lease before this process could acquire it, so its last order was sent before now.
// This also holds after a release, but the last order may still be in flight unless
// the released row has Quiet set.
func (g *OrderGate) Acquired(now time.Duration, a Acquired) {
	g.fence = a.Fence
	g.readBack = map[id.Endpoint]bool{}
	g.waitUntil = now + g.cfg.MaxOrderDelay
	if a.Fence == 1 || a.Own || a.Quiet || (a.Lapsed && g.cfg.LapseExceedsOrderDelay) {
		g.waitUntil = now
	}
}

// Allow returns whether orders may be sent to an endpoint at this moment. The
// caller must call it immediately before each order.
func (g *OrderGate) Allow(now time.Duration, endpoint id.Endpoint, checksFencing bool) GateState {
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

// MarkReadBack records that the endpoint's state was read back after the wait, which
// opens the gate for the endpoint. The caller then orders again whatever differs
// from the desired state.
func (g *OrderGate) MarkReadBack(now time.Duration, endpoint id.Endpoint) {
	if now >= g.waitUntil {
		g.readBack[endpoint] = true
	}
}

// Fence returns the fencing number that every order must carry.
func (g *OrderGate) Fence() uint64 { return g.fence }
