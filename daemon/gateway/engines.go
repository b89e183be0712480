package gateway

import (
	"context"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
)

// EngineState is the state that an engine reports.
type EngineState struct {
	Role live.Role
	// Changing is set while the engine carries out a role order.
	Changing bool
	// Orders counts the role orders that the engine has accepted.
	Orders uint64
	// StartedUnixMS orders the starts of the engine, as in its registry entry: a later
	// start has a higher value. 0 if the engine does not report it.
	StartedUnixMS int64
}

// RoleOrder orders an engine to change its role.
type RoleOrder struct {
	To live.Role
	// Holder is the daemon that holds the lease and sends the order.
	Holder id.Daemon
	// Fence is the fencing number of the holder's lease.
	Fence uint64
	// Orders is the number of orders that the engine must have accepted so far. An
	// order that arrives late or twice does not match it and is refused.
	Orders uint64
}

// OrderResult is an engine's response to an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderAccepted: the engine carries the order out, or already has the role.
	OrderAccepted OrderResult = iota + 1
	// OrderRefused: the engine accepted another order first, or is gone.
	OrderRefused
	// OrderFenced: the engine has seen a higher fencing number.
	OrderFenced
	// OrderUnknown: no answer. The engine may still carry the order out, also later.
	OrderUnknown
)

// String returns the name of the result in logs and metrics.
func (r OrderResult) String() string {
	switch r {
	case OrderAccepted:
		return "taken"
	case OrderRefused:
		return "refused"
	case OrderFenced:
		return "fenced"
	default:
		return "unknown"
	}
}

// Inspector queries endpoints for their identity.
type Inspector interface {
	// Instance returns the instance name of the process that listens at an
	// endpoint's address, read from the health path of the endpoint's service.
	Instance(ctx context.Context, e registry.Endpoint, healthPath string) (id.Instance, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
}

// Engines reads the state of engines and sends them role orders.
type Engines interface {
	// State reads the state that an engine reports.
	State(ctx context.Context, e registry.Endpoint) (EngineState, error)
	// Order sends an order once, without retries. The error gives the reason if the
	// result is unknown.
	Order(ctx context.Context, e registry.Endpoint, o RoleOrder) (OrderResult, error)
}
