package standin

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// The stages of a request in an engine.
const (
	stagePrefill  = "prefill"
	stageKV       = "kv"
	stageImport   = "import"
	stageDecode   = "decode"
	stageFinished = "finished"
)

// memory is all that an engine loses when it crashes.
type memory struct {
	proc        process
	prefills    map[string]*prefill
	queue       prefillQueue
	queueSignal chan struct{}
	prefilling  bool
	kvs         map[string]*exportedKV
	decodes     map[string]*decode
	running     int
	finished    []*decode
	cache       *prefixCache
	// cancelled holds the tombstones and when each was set.
	cancelled   *simplelru.LRU[string, time.Time]
	arrivals    uint64
	exportCount uint64
}

// newMemory returns the memory of a process that begins.
func newMemory(cfg EngineConfig, proc process) *memory {
	return &memory{
		proc:        proc,
		prefills:    map[string]*prefill{},
		queueSignal: make(chan struct{}, 1),
		kvs:         map[string]*exportedKV{},
		decodes:     map[string]*decode{},
		cache:       newPrefixCache(cfg),
		cancelled:   newLRU[string, time.Time](maxTombstones),
	}
}

// refuseWork tells why an engine can't take a new request of a role and model;
// nil if it can. The caller holds mu.
func (e *Engine) refuseWork(id, role, model string) *failure {
	if id == "" {
		return refused(fasthttp.StatusBadRequest, wire.ErrorBadRequest, "request has no id")
	}
	if e.hasTombstone(id) {
		return refused(fasthttp.StatusConflict, wire.ErrorCancelled, "request was cancelled")
	}
	if f := e.leavingRefusal(); f != nil {
		e.counters.AfterLeave++
		return f
	}
	if !e.orders.ready {
		return refused(fasthttp.StatusServiceUnavailable, wire.ErrorUnavailable, "engine is loading")
	}
	if e.orders.current.Role != role {
		return refused(fasthttp.StatusConflict, wire.ErrorRole, "engine's role is "+e.orders.current.Role)
	}
	if model != "" && model != e.orders.current.Model {
		return refused(fasthttp.StatusConflict, wire.ErrorRole, "engine's model is "+e.orders.current.Model)
	}
	return nil
}

// buried tells whether a tombstone stands for a request. The caller holds mu.
func (e *Engine) hasTombstone(id string) bool {
	at, ok := e.memory.cancelled.Peek(id)
	return ok && time.Since(at) < e.cfg.TombstoneLifetime
}
