package standin

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// DefaultWorkTime is how long a plain call runs.
const DefaultWorkTime = 10 * time.Millisecond

// PlainConfig sets up a PlainService; zero fields take the defaults.
type PlainConfig struct {
	Name   string
	Domain string
	// Service that it stands for; the label of its endpoint.
	Service      string
	Slots        int
	WorkTime     time.Duration
	LoadLag      time.Duration
	RestartDelay time.Duration
	LeaveGrace   time.Duration
	Seed         uint64
}

// withDefaults fills in the fields that are zero.
func (c PlainConfig) withDefaults() PlainConfig {
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.WorkTime <= 0 {
		c.WorkTime = DefaultWorkTime
	}
	if c.LoadLag <= 0 {
		c.LoadLag = DefaultLoadLag
	}
	return c
}

// PlainCounters counts what a PlainService did.
type PlainCounters struct {
	// Calls that were run; Refused ones were not.
	Calls      int64 `json:"calls"`
	Refused    int64 `json:"refused"`
	Crashes    int64 `json:"crashes"`
	MaxRunning int   `json:"max_running"`
	// AfterLeave counts calls that came after the leave grace.
	AfterLeave int64 `json:"after_leave"`
	// Keys holds how often each idempotency key ran here.
	Keys []Runs `json:"keys"`
}

// PlainService runs calls on any path.
type PlainService struct {
	*endpoint
	cfg      PlainConfig
	running  int
	load     *lagged[int]
	keys     runCounter
	counters PlainCounters
}

// NewPlainService returns a plain service.
func NewPlainService(cfg PlainConfig) *PlainService {
	cfg = cfg.withDefaults()
	return &PlainService{
		endpoint: newEndpoint(cfg.Seed, cfg.RestartDelay, cfg.LeaveGrace),
		cfg:      cfg,
		load:     newLagged(cfg.LoadLag, 0),
		keys:     newRunCounter(),
	}
}

// Start listens at addr.
func (p *PlainService) Start(addr string) (*Server, error) {
	return p.start(addr, &standIn{
		faults:         p.faults,
		serve:          p.serve,
		inject:         p.Inject,
		counters:       func() any { return p.Counters() },
		replyCanBeLost: func(ctx *fasthttp.RequestCtx) bool { return !isProbe(string(ctx.Path())) },
	})
}

// Inject applies a fault. LoseReplies runs calls and then cuts the connection.
func (p *PlainService) Inject(f wire.Fault) {
	p.faults.apply(f)
	if !f.Crash {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = 0
	p.restart()
}

// Counters returns the counts so far.
func (p *PlainService) Counters() PlainCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.Crashes = p.crashes
	c.Keys = p.keys.list()
	return c
}

// Receipt is the body of the answer to a call with this key and body.
func Receipt(key string, body []byte) string {
	return fmt.Sprintf("receipt %016x %016x", xxhash.Sum64String(key), xxhash.Sum64(body))
}

// isProbe tells questions about the service from calls of it.
func isProbe(path string) bool { return path == wire.PathLoad || path == wire.PathHealth }

// serve handles a call.
func (p *PlainService) serve(ctx *fasthttp.RequestCtx) {
	setIncarnationHeader(ctx, p.Incarnation())
	switch string(ctx.Path()) {
	case wire.PathLoad:
		setJSON(ctx, p.report())
	case wire.PathHealth:
	default:
		p.run(ctx)
	}
}

// report is the service's view of itself, lagging.
func (p *PlainService) report() wire.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wire.LoadReport{
		Incarnation: p.proc.incarnation,
		Running:     p.load.get(time.Now()),
		Slots:       p.cfg.Slots,
		Leaving:     p.isLeaving(),
		Role:        "plain",
	}
}

// run runs a call in a slot.
func (p *PlainService) run(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(wire.HeaderIdempotencyKey))
	proc, refusal := p.begin(key)
	if refusal != nil {
		refusal.write(ctx)
		return
	}
	finished := p.faults.simulateWork(proc.ctx.Done(), p.cfg.WorkTime)
	p.finish(proc)
	if !finished {
		resetConnection(ctx)
		return
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(Receipt(key, ctx.PostBody()))
}

// begin takes a slot and counts the run, or refuses the call.
func (p *PlainService) begin(key string) (process, *failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.leavingRefusal(); f != nil {
		p.counters.Refused++
		p.counters.AfterLeave++
		return process{}, f
	}
	if p.running >= p.cfg.Slots {
		p.counters.Refused++
		return process{}, refused(fasthttp.StatusTooManyRequests, wire.ErrorFull, "no free slot")
	}
	p.running++
	p.load.set(time.Now(), p.running)
	p.counters.Calls++
	p.counters.MaxRunning = max(p.counters.MaxRunning, p.running)
	if key != "" {
		p.keys.add(key)
	}
	return p.proc, nil
}

// finish frees the slot, unless the process that held it has ended.
func (p *PlainService) finish(proc process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc.incarnation != proc.incarnation {
		return
	}
	p.running--
	p.load.set(time.Now(), p.running)
}
