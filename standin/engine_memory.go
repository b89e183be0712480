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

// memory is the volatile state of an engine, which is lost in a crash.
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
	// cancelled holds the tombstones: the ids of cancelled requests and when
	// each was cancelled.
	cancelled   *simplelru.LRU[string, time.Time]
	arrivals    uint64
	exportCount uint64
}

// newMemory returns the empty memory of a new process.
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

// refuseWork returns why the engine can't accept a new request for a role and
// model; nil if it can. The caller holds mu.
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

// hasTombstone reports whether a request has a tombstone that has not expired.
// The caller holds mu.
func (e *Engine) hasTombstone(id string) bool {
	at, ok := e.memory.cancelled.Peek(id)
	return ok && time.Since(at) < e.cfg.TombstoneLifetime
}
