package standin

import (
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// serveCancel cancels a request in any stage.
func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	var r wire.CancelRequest
	if f := decodeBody(ctx, &r); f != nil {
		f.write(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	setJSON(ctx, wire.CancelResponse{State: e.cancel(r)})
}

// cancel ends a request and leaves a tombstone, so that a run order for the
// request that arrives later is refused. The caller holds mu.
func (e *Engine) cancel(r wire.CancelRequest) string {
	if e.otherOwner(r) {
		return wire.CancelOtherOwner
	}
	e.memory.cancelled.Add(r.Request, time.Now())
	e.counters.Cancels++
	state := wire.CancelUnknown
	if e.cancelPrefill(r.Request) {
		state = wire.CancelDone
	}
	if e.cancelKV(r.Request) {
		state = wire.CancelDone
	}
	if d, ok := e.memory.decodes[r.Request]; ok {
		state = wire.CancelDone
		if d.stage == stageFinished {
			state = wire.CancelFinished
		}
		e.dropDecode(e.memory, d)
	}
	return state
}

// otherOwner reports whether a conditional cancel names an owner other than that
// of the request. The caller holds mu.
func (e *Engine) otherOwner(r wire.CancelRequest) bool {
	if r.Owner == "" {
		return false
	}
	canceller := owner{r.Owner, r.OwnerIncarnation}
	if d, ok := e.memory.decodes[r.Request]; ok && d.owner != canceller {
		return true
	}
	if p, ok := e.memory.prefills[r.Request]; ok && p.owner != canceller {
		return true
	}
	for _, kv := range e.memory.kvs {
		if kv.id == r.Request && kv.owner != canceller {
			return true
		}
	}
	return false
}

// cancelPrefill ends a waiting or running prefill; false if there is none. The
// caller holds mu.
func (e *Engine) cancelPrefill(id string) bool {
	job, ok := e.memory.prefills[id]
	if !ok {
		return false
	}
	delete(e.memory.prefills, id)
	job.cancel()
	e.memory.queue.remove(job)
	e.recordLoad()
	return true
}

// cancelKV drops the exported KV caches of a request; false if there is none.
// The caller holds mu.
func (e *Engine) cancelKV(id string) bool {
	found := false
	for name, kv := range e.memory.kvs {
		if kv.id == id {
			e.dropKV(name, true)
			e.counters.KVReleased++
			found = true
		}
	}
	return found
}
