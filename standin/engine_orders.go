package standin

import (
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// orderState is what an engine was ordered to be. It outlives a crash.
type orderState struct {
	current wire.Order
	ready   bool
	// change numbers the changes, so that an older one's end is ignored.
	change int
}

// newOrderState is the state of an engine before its first order.
func newOrderState(cfg EngineConfig) orderState {
	return orderState{
		current: wire.Order{Model: cfg.Model, Adapter: cfg.Adapter, Version: cfg.Version, Role: cfg.Role},
		ready:   true,
	}
}

// response is the state as a body.
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

// serveOrderState answers with the state.
func (e *Engine) serveOrderState(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	setJSON(ctx, e.orders.response())
}

// serveOrder takes an order.
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

// obey begins the change that an order asks for. The caller holds mu.
func (e *Engine) applyOrder(o wire.Order) {
	was := e.orders.current
	e.orders.current = o
	e.counters.Orders++
	if o.Fence < was.Fence {
		e.counters.StaleFencesApplied++
	}
	was.Fence = o.Fence
	if o == was {
		return
	}
	takes := e.cfg.LoadTime
	if was.Role = o.Role; o == was {
		takes = e.cfg.RoleTime
	}
	e.orders.ready = false
	e.orders.change++
	change := e.orders.change
	e.recordLoad()
	time.AfterFunc(takes, func() { e.endChange(change) })
}

// endChange makes the engine ready, unless a newer change runs.
func (e *Engine) endChange(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.change != change {
		return
	}
	e.orders.ready = true
	e.recordLoad()
}
