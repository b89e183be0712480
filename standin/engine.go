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
	DefaultKVLife                 = 800 * time.Millisecond
	DefaultKVBytesPerToken        = 50_000
	DefaultCacheBlocks            = 4096
	DefaultCacheLag               = 50 * time.Millisecond
	DefaultLoadTime               = 400 * time.Millisecond
	DefaultRoleTime               = 100 * time.Millisecond
	DefaultFinishedLifetime       = 10 * time.Second
	DefaultTombstoneLifetime      = time.Minute
	// MaxAnswerTokens bounds the answer to one request.
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

// EngineConfig sets up an Engine; zero fields take the defaults.
type EngineConfig struct {
	Name   string
	Domain string
	// Model, Adapter, Version and Role that it has at its start.
	Model, Adapter, Version, Role string
	// Slots is how many requests it decodes at once.
	Slots                  int
	PrefillTokensPerSecond float64
	// DecodeTokenMS is the time for one output token of a request alone.
	DecodeTokenMS float64
	// BatchSlowdown is the share by which each further request slows the pace.
	BatchSlowdown float64
	// PrefillQueue bounds the prefills that wait.
	PrefillQueue    int
	KVLife          time.Duration
	KVBytesPerToken int64
	// CacheBlocks bounds the prefix cache, in blocks of package prefixhash.
	CacheBlocks int
	// CacheLag is how late cache events are; CacheGap is the share that is lost.
	CacheLag       time.Duration
	CacheEventLoss float64
	LoadLag        time.Duration
	// LoadTime and RoleTime are how long the two kinds of orders take.
	LoadTime, RoleTime time.Duration
	// FinishedLife is how long a finished answer is kept for a resume.
	FinishedLifetime  time.Duration
	TombstoneLifetime time.Duration
	RestartDelay      time.Duration
	LeaveGrace        time.Duration
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool
	// Links that imports go over. Default: links of its own at 2 and 1 GB/s.
	Links *Links
	Seed  uint64
}

// withDefaults fills in the fields that are zero.
func (c EngineConfig) withDefaults() EngineConfig {
	defaults.Set(&c.Role, RolePrefill)
	defaults.Set(&c.Slots, DefaultSlots)
	defaults.Set(&c.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	defaults.Set(&c.DecodeTokenMS, DefaultDecodeTokenMS)
	defaults.Set(&c.BatchSlowdown, DefaultBatchSlowdown)
	defaults.Set(&c.PrefillQueue, DefaultPrefillQueue)
	defaults.Set(&c.KVLife, DefaultKVLife)
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

// Engine is a model engine. Its mutex, that of endpoint, guards all state.
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

// Start listens at addr.
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

// crash replaces the memory by that of a new process. The caller holds mu.
func (e *Engine) crash() {
	e.discardMemory()
	e.restart()
	e.memory = newMemory(e.cfg, e.proc)
	e.recordLoad()
	go e.prefillLoop(e.memory)
}

// loseMemory counts the prefill work that a crash destroys. The caller holds mu.
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

// route finds the handler of a call; nil if there is none.
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

// owner is the daemon process that waits for a request.
type owner struct {
	name        string
	incarnation uint64
}

// work is what every request in the engine has.
type engineRequest struct {
	id     string
	owner  owner
	stage  string
	since  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// process ends when the engine's process does.
	process context.Context
}

// abort answers a call whose work has ended early: a cancel is told, but the
// end of the process breaks the connection, as it would.
func (w *engineRequest) replyAborted(ctx *fasthttp.RequestCtx, f *failure) {
	if w.process.Err() != nil {
		resetConnection(ctx)
		return
	}
	f.write(ctx)
}

// newWork begins a request within a process.
func newEngineRequest(m *memory, id string, o owner, stage string) engineRequest {
	ctx, cancel := context.WithCancel(m.proc.ctx)
	return engineRequest{id: id, owner: o, stage: stage, since: time.Now(), ctx: ctx, cancel: cancel, process: m.proc.ctx}
}
