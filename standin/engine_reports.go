package standin

import (
	"sort"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// EngineCounters are the counters of an Engine.
type EngineCounters struct {
	Prefills            int64 `json:"prefills"`
	PrefillTokens       int64 `json:"prefill_tokens"`
	PrefillTokensCached int64 `json:"prefill_tokens_cached"`
	// PrefillTokensWasted counts computed prompt tokens whose KV cache was not
	// imported.
	PrefillTokensWasted int64 `json:"prefill_tokens_wasted"`
	KVImported          int64 `json:"kv_imported"`
	KVExpired           int64 `json:"kv_expired"`
	KVReleased          int64 `json:"kv_released"`
	ImportsFailed       int64 `json:"imports_failed"`
	Decodes             int64 `json:"decodes"`
	Tokens              int64 `json:"tokens"`
	// RepeatedDecodes counts decodes of a request that this engine had decoded before.
	RepeatedDecodes int64 `json:"ran_twice"`
	Resumes         int64 `json:"resumes"`
	Cancels         int64 `json:"cancels"`
	Refused         int64 `json:"refused"`
	MaxRunning      int   `json:"max_running"`
	// HeldAfterCancel is the number of slots that cancelled requests hold now.
	HeldAfterCancel int `json:"held_after_cancel"`
	Running         int `json:"running"`
	KVHeld          int `json:"kv_held"`
	// Hanging is the number of calls that the Hang fault holds back now.
	Hanging int   `json:"hanging"`
	Crashes int64 `json:"crashes"`
	// AfterLeave counts run orders that arrived after the leave grace.
	AfterLeave         int64 `json:"after_leave"`
	Orders             int64 `json:"orders"`
	OrdersRefused      int64 `json:"orders_refused"`
	StaleFencesApplied int64 `json:"old_fences_obeyed"`
	// DecodeRuns lists how often this engine decoded each request.
	DecodeRuns []Runs `json:"decode_runs"`
}

// Counters returns a copy of the current counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Crashes = e.crashes
	c.Hanging = e.faults.hangingCalls()
	c.Running = e.memory.running
	c.KVHeld = len(e.memory.kvs)
	c.DecodeRuns = e.decodeRuns.list()
	for id, d := range e.memory.decodes {
		if d.stage != stageFinished && e.memory.cancelled.Contains(id) {
			c.HeldAfterCancel++
		}
	}
	return c
}

// serveRequests lists the requests for which the engine holds memory.
func (e *Engine) serveRequests(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := wire.RequestList{Incarnation: e.proc.incarnation, Requests: []wire.RunningRequest{}}
	for _, p := range e.memory.prefills {
		list.Requests = append(list.Requests, newRunningRequest(p.id, p.owner, p.stage, p.since))
	}
	for _, kv := range e.memory.kvs {
		list.Requests = append(list.Requests, newRunningRequest(kv.id, kv.owner, stageKV, kv.since))
	}
	for _, d := range e.memory.decodes {
		list.Requests = append(list.Requests, newRunningRequest(d.id, d.owner, d.stage, d.since))
	}
	sort.Slice(list.Requests, func(i, j int) bool {
		a, b := list.Requests[i], list.Requests[j]
		return a.Request < b.Request || a.Request == b.Request && a.Stage < b.Stage
	})
	setJSON(ctx, list)
}

// newRunningRequest returns one entry of the request list.
func newRunningRequest(id string, o owner, stage string, since time.Time) wire.RunningRequest {
	return wire.RunningRequest{
		Request:          id,
		Owner:            o.name,
		OwnerIncarnation: o.incarnation,
		Stage:            stage,
		AgeMS:            time.Since(since).Milliseconds(),
	}
}

// serveLoad returns the lagging load report.
func (e *Engine) serveLoad(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	setJSON(ctx, e.load.get(time.Now()))
}

// recordLoad records the current load report; it becomes visible after LoadLag.
// The caller holds mu.
func (e *Engine) recordLoad() { e.load.set(time.Now(), e.currentLoad()) }

// currentLoad returns the load report without lag. Model and role are empty
// while a change is in progress. The caller holds mu, except in NewEngine.
func (e *Engine) currentLoad() wire.LoadReport {
	m := e.memory
	report := wire.LoadReport{
		Incarnation: m.proc.incarnation,
		Running:     m.running,
		Waiting:     len(m.queue),
		Slots:       e.cfg.Slots,
		Leaving:     e.isLeaving(),
	}
	if m.prefilling {
		report.Running++
	}
	if e.orders.ready {
		report.Model = e.orders.current.Model
		report.Role = e.orders.current.Role
	}
	return report
}
