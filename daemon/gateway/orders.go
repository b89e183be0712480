package gateway

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
)

// gateState returns whether an order may be sent now. Engines that check fencing
// numbers are treated like those that do not: the orders of two holders must be
// separated in time for all engines.
func (o *orderer) gateState(now time.Duration, endpoint id.Endpoint) lease.GateState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease == nil || o.lease.Fence() <= o.rejectedFence {
		return lease.Closed
	}
	return o.gate.Allow(now, endpoint, false)
}

// runOrder reads the engine's state and sends the order. It runs in a worker.
func (o *orderer) runOrder(endpoint id.Endpoint, c *change) {
	result, fence := o.order(endpoint, c)
	o.duty.Post(func(now time.Duration) { o.handleOrderResult(now, endpoint, c, result, fence) })
}

func (o *orderer) order(endpoint id.Endpoint, c *change) (OrderResult, uint64) {
	ctx, cancel := context.WithTimeout(o.duty.Context(), orderTimeout)
	defer cancel()
	e, known := o.d.tables.current().Endpoints[endpoint]
	if !known {
		return OrderRefused, 0
	}
	state, err := o.d.platform.Engines.State(ctx, e)
	if err != nil {
		o.d.logger.Warn("engine_state_unknown", "endpoint", endpoint, "why", err)
		return OrderRefused, 0
	}
	if state.Changing || state.Role == c.to {
		return OrderAccepted, 0
	}
	fence, ok := o.openGate(endpoint)
	if !ok {
		return OrderRefused, 0
	}
	order := RoleOrder{To: c.to, Holder: o.f.self.Daemon, Fence: fence, Orders: state.Orders}
	result, err := o.d.platform.Engines.Order(ctx, e, order)
	o.d.logger.Event("role_ordered", "endpoint", endpoint, "to", c.to, "fence", fence, "orders", state.Orders,
		"result", result, "why", err)
	return result, fence
}

// openGate checks the gate immediately before an order, at the current time, and
// returns the fencing number for the order.
func (o *orderer) openGate(endpoint id.Endpoint) (uint64, bool) {
	now := o.d.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease == nil {
		return 0, false
	}
	o.gate.MarkReadBack(now, endpoint)
	fence := o.gate.Fence()
	return fence, fence > o.rejectedFence && o.gate.Allow(now, endpoint, false) == lease.Open
}

// handleOrderResult processes the result of an order.
func (o *orderer) handleOrderResult(now time.Duration, endpoint id.Endpoint, c *change, result OrderResult, fence uint64) {
	o.results.Add(result.String(), 1)
	c.pending = false
	c.retryAt = now + orderRetryDelay
	o.releaseSafeAt = now + o.maxOrderDelay()
	switch result {
	case OrderAccepted:
		c.ordered = true
		c.orderedAt = now
	case OrderFenced:
		o.mu.Lock()
		o.rejectedFence = max(o.rejectedFence, fence)
		if o.lease != nil {
			o.lease.Halt(now)
		}
		o.mu.Unlock()
		o.d.logger.Warn("role_lease_fenced", "endpoint", endpoint, "fence", fence)
	}
}
