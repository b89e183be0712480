package gateway

import (
	"context"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
)

// EngineState is what an engine reports of itself.
type EngineState struct {
	Role live.Role
	// Changing is set while an order is being carried out.
	Changing bool
	// Orders counts the orders that it has accepted.
	Orders uint64
	// Born orders its starts, as in its entry; 0 where it does not say.
	Born int64
}

// RoleOrder has an engine change its role.
type RoleOrder struct {
	To live.Role
	// Holder is the host that gives the order.
	Holder id.Daemon
	// Fence is the fencing number of the holder's lease.
	Fence uint64
	// Orders is how many orders the engine must have accepted so far: an order
	// that is carried out late, or twice, is refused.
	Orders uint64
}

// OrderResult is what an engine said to an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderTaken: it is being carried out, or holds already.
	OrderTaken OrderResult = iota + 1
	// OrderRefused: another order came first, or the engine is gone.
	OrderRefused
	// OrderFenced: a holder with a higher fencing number was there.
	OrderFenced
	// OrderUnknown: no answer; it may be carried out, also later.
	OrderUnknown
)

// String names the result for logs.
func (r OrderResult) String() string {
	switch r {
	case OrderTaken:
		return "taken"
	case OrderRefused:
		return "refused"
	case OrderFenced:
		return "fenced"
	default:
		return "unknown"
	}
}

// Inspector is the port through which endpoints are asked who they are.
type Inspector interface {
	// Instance asks the process at an endpoint's address for its name, at the
	// health path of the endpoint's service.
	Instance(ctx context.Context, e registry.Endpoint, healthPath string) (id.Instance, error)
	// Forget closes the unused connections to an address.
	Forget(address string)
}

// Engines is the port through which engines are asked and ordered.
type Engines interface {
	// State reads an engine's report.
	State(ctx context.Context, e registry.Endpoint) (EngineState, error)
	// Order gives an order, once. The error tells why the result is unknown.
	Order(ctx context.Context, e registry.Endpoint, o RoleOrder) (OrderResult, error)
}
