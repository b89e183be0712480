package standin

import (
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// orderState is the model and role that the engine was last ordered to have. It
// survives a crash.
type orderState struct {
	current wire.Order
	ready   bool
	// change is the number of the latest change, so that the end of an earlier
	// change is ignored.
	change int
}

// newOrderState returns the state of an engine before its first order.
func newOrderState(cfg EngineConfig) orderState {
	return orderState{
		current: wire.Order{Model: cfg.Model, Adapter: cfg.Adapter, Version: cfg.Version, Role: cfg.Role},
		ready:   true,
	}
}

// response returns the state as a response body.
func (s orderState) response() wire.OrderResponse {
	return wire.OrderResponse{
		Fence:   s.current.Fence,
		Model:   s.current.Model,
		Adapter: s.current.Adapter,
		Version: s.current.Version,
		Role:    s.current.Role,
		Ready:   s.ready,
	}
}

// serveOrderState returns the current order state.
func (e *Engine) serveOrderState(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	setJSON(ctx, e.orders.response())
}

// serveOrder applies an order, or refuses it if its role is unknown or its
// fencing number is stale.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if f := decodeBody(ctx, &o); f != nil {
		f.write(ctx)
		return
	}
	if o.Role != RolePrefill && o.Role != RoleDecode {
		refused(fasthttp.StatusBadRequest, wire.ErrorBadRequest, "no such role: "+o.Role).write(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fence < e.orders.current.Fence {
		e.counters.OrdersRefused++
		refused(fasthttp.StatusConflict, wire.ErrorStaleFence, "order's fencing number is old").write(ctx)
		return
	}
	e.applyOrder(o)
	setJSON(ctx, e.orders.response())
}

// applyOrder starts the change to the model and role of an order. The caller
// holds mu.
func (e *Engine) applyOrder(o wire.Order) {
	previous := e.orders.current
	e.orders.current = o
	e.counters.Orders++
	if o.Fence < previous.Fence {
		e.counters.StaleFencesApplied++
	}
	previous.Fence = o.Fence
	if o == previous {
		return
	}
	duration := e.cfg.LoadTime
	if previous.Role = o.Role; o == previous {
		duration = e.cfg.RoleTime
	}
	e.orders.ready = false
	e.orders.change++
	change := e.orders.change
	e.recordLoad()
	time.AfterFunc(duration, func() { e.endChange(change) })
}

// endChange marks the engine ready, unless a newer change is in progress.
func (e *Engine) endChange(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.change != change {
		return
	}
	e.orders.ready = true
	e.recordLoad()
}
