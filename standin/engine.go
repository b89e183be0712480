package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// Defaults of EngineConfig.
const (
	DefaultPrefillTokensPerSecond = 20000.0
	DefaultDecodeTokenMS          = 20.0
	DefaultBatchSlowdown          = 0.03
	DefaultPrefillQueue           = 64
	DefaultKVLifetime             = 800 * time.Millisecond
	DefaultKVBytesPerToken        = 50_000
	DefaultCacheBlocks            = 4096
	DefaultCacheLag               = 50 * time.Millisecond
	DefaultLoadTime               = 400 * time.Millisecond
	DefaultRoleTime               = 100 * time.Millisecond
	DefaultFinishedLifetime       = 10 * time.Second
	DefaultTombstoneLifetime      = time.Minute
	// MaxAnswerTokens bounds the output tokens of one request.
	MaxAnswerTokens  = 8192
	defaultMaxTokens = 16
	maxTombstones    = 1 << 14
	maxFinished      = 512
)

// The roles of an engine, as in package live.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// EngineConfig configures an Engine; zero fields take the defaults.
type EngineConfig struct {
	Name   string
	Domain string
	// Model, Adapter, Version and Role are those of the engine at its start.
	Model, Adapter, Version, Role string
	// Slots is how many requests the engine decodes concurrently.
	Slots                  int
	PrefillTokensPerSecond float64
	// DecodeTokenMS is the time per output token of a request that runs alone.
	DecodeTokenMS float64
	// BatchSlowdown is the fraction by which each further running request
	// lengthens the time per output token.
	BatchSlowdown float64
	// PrefillQueue bounds the prefills that wait.
	PrefillQueue int
	// KVLifetime is how long an exported KV cache is kept for its import.
	KVLifetime      time.Duration
	KVBytesPerToken int64
	// CacheBlocks bounds the prefix cache, in blocks of package prefixhash.
	CacheBlocks int
	// CacheLag is the delay after which cache events are visible; CacheEventLoss
	// is the probability that an event is lost.
	CacheLag       time.Duration
	CacheEventLoss float64
	// LoadLag is the delay after which load reports show a change.
	LoadLag time.Duration
	// LoadTime is how long an order takes that changes the model, the adapter or
	// the version; RoleTime is how long one takes that changes only the role.
	LoadTime, RoleTime time.Duration
	// FinishedLifetime is how long a finished answer is kept for a resume.
	FinishedLifetime time.Duration
	// TombstoneLifetime is how long a cancelled request's id is refused.
	TombstoneLifetime time.Duration
	RestartDelay      time.Duration
	LeaveGrace        time.Duration
	// ChecksFencing makes the engine refuse orders with a stale fencing number.
	ChecksFencing bool
	// Links carry the KV imports. Default: links used by this engine alone, with
	// 2 GB/s within a failure domain and 1 GB/s across.
	Links *Links
	Seed  uint64
}

// withDefaults replaces zero fields by their defaults.
func (c EngineConfig) withDefaults() EngineConfig {
	defaults.Set(&c.Role, RolePrefill)
	defaults.Set(&c.Slots, DefaultSlots)
	defaults.Set(&c.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	defaults.Set(&c.DecodeTokenMS, DefaultDecodeTokenMS)
	defaults.Set(&c.BatchSlowdown, DefaultBatchSlowdown)
	defaults.Set(&c.PrefillQueue, DefaultPrefillQueue)
	defaults.Set(&c.KVLifetime, DefaultKVLifetime)
	defaults.Set(&c.KVBytesPerToken, int64(DefaultKVBytesPerToken))
	defaults.Set(&c.CacheBlocks, DefaultCacheBlocks)
	defaults.Set(&c.CacheLag, DefaultCacheLag)
	defaults.Set(&c.LoadLag, DefaultLoadLag)
	defaults.Set(&c.LoadTime, DefaultLoadTime)
	defaults.Set(&c.RoleTime, DefaultRoleTime)
	defaults.Set(&c.FinishedLifetime, DefaultFinishedLifetime)
	defaults.Set(&c.TombstoneLifetime, DefaultTombstoneLifetime)
	if c.Links == nil {
		c.Links = NewLinks(DefaultRateWithin, DefaultRateAcross)
	}
	return c
}

// Engine is a simulated model engine. The mutex of the embedded endpoint guards
// all its state.
type Engine struct {
	*endpoint
	cfg        EngineConfig
	memory     *memory
	orders     orderState
	load       *lagged[wire.LoadReport]
	decodeRuns runCounter
	counters   EngineCounters
	pullClient *fasthttp.Client
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		endpoint:   newEndpoint(cfg.Seed, cfg.RestartDelay, cfg.LeaveGrace),
		cfg:        cfg,
		decodeRuns: newRunCounter(),
		pullClient: newPullClient(),
	}
	e.orders = newOrderState(cfg)
	e.memory = newMemory(cfg, e.proc)
	e.load = newLagged(cfg.LoadLag, e.currentLoad())
	go e.prefillLoop(e.memory)
	return e
}

// Start starts the engine's server at addr, host:port.
func (e *Engine) Start(addr string) (*Server, error) {
	return e.start(addr, &standIn{
		faults:         e.faults,
		serve:          e.serve,
		inject:         e.Inject,
		counters:       func() any { return e.Counters() },
		replyCanBeLost: func(ctx *fasthttp.RequestCtx) bool { return ctx.IsPost() && !isPull(ctx) },
	})
}

// Inject applies a fault.
func (e *Engine) Inject(f wire.Fault) {
	e.faults.apply(f)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Crash {
		e.crash()
	}
	e.recordLoad()
}

// Crash ends the incarnation: all state and all connections are lost.
func (e *Engine) Crash() { e.Inject(wire.Fault{Crash: true}) }

// crash replaces the memory with that of a new process. The caller holds mu.
func (e *Engine) crash() {
	e.discardMemory()
	e.restart()
	e.memory = newMemory(e.cfg, e.proc)
	e.recordLoad()
	go e.prefillLoop(e.memory)
}

// discardMemory stops the expiry timers and the decodes, and counts the prefill
// work of the exported KV caches as wasted. The caller holds mu.
func (e *Engine) discardMemory() {
	for _, kv := range e.memory.kvs {
		kv.expiry.Stop()
		e.counters.PrefillTokensWasted += int64(kv.computedTokens)
	}
	for _, d := range e.memory.decodes {
		d.discard()
	}
}

// serve handles a call.
func (e *Engine) serve(ctx *fasthttp.RequestCtx) {
	setIncarnationHeader(ctx, e.Incarnation())
	handler := e.route(string(ctx.Method()), string(ctx.Path()))
	if handler == nil {
		notFound(ctx)
		return
	}
	handler(ctx)
}

// route returns the handler of a method and path; nil if there is none.
func (e *Engine) route(method, path string) fasthttp.RequestHandler {
	switch method + " " + path {
	case http.MethodPost + " " + wire.PathPrefill:
		return e.servePrefill
	case http.MethodPost + " " + wire.PathCompletions:
		return e.serveDecode
	case http.MethodGet + " " + wire.PathEvents:
		return e.serveResume
	case http.MethodPost + " " + wire.PathCancel:
		return e.serveCancel
	case http.MethodPost + " " + wire.PathRelease:
		return e.serveRelease
	case http.MethodPost + " " + pathPull:
		return e.servePull
	case http.MethodGet + " " + wire.PathRequests:
		return e.serveRequests
	case http.MethodGet + " " + wire.PathLoad:
		return e.serveLoad
	case http.MethodGet + " " + wire.PathCache:
		return e.serveCacheEvents
	case http.MethodGet + " " + wire.PathOrders:
		return e.serveOrderState
	case http.MethodPost + " " + wire.PathOrders:
		return e.serveOrder
	case http.MethodGet + " " + wire.PathHealth:
		return func(*fasthttp.RequestCtx) {}
	default:
		return nil
	}
}

// owner is the daemon process that waits for the result of a request.
type owner struct {
	name        string
	incarnation uint64
}

// engineRequest is the common part of all requests in an engine.
type engineRequest struct {
	id     string
	owner  owner
	stage  string
	since  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// process is done when the engine's process ends.
	process context.Context
}

// replyAborted replies to a call whose work ended early: with the failure after
// a cancel, and with a reset connection after a crash, as from a real process.
func (w *engineRequest) replyAborted(ctx *fasthttp.RequestCtx, f *failure) {
	if w.process.Err() != nil {
		resetConnection(ctx)
		return
	}
	f.write(ctx)
}

// newEngineRequest returns a request whose context ends with the process.
func newEngineRequest(m *memory, id string, o owner, stage string) engineRequest {
	ctx, cancel := context.WithCancel(m.proc.ctx)
	return engineRequest{id: id, owner: o, stage: stage, since: time.Now(), ctx: ctx, cancel: cancel, process: m.proc.ctx}
}
