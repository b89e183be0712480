package standin

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// DefaultWorkTime is how long a call of a plain service runs.
const DefaultWorkTime = 10 * time.Millisecond

// PlainConfig configures a PlainService; zero fields take the defaults.
type PlainConfig struct {
	Name   string
	Domain string
	// Service is the name of the simulated service and the value of the
	// endpoint's LabelService label.
	Service string
	// Slots is how many calls the service runs concurrently.
	Slots        int
	WorkTime     time.Duration
	LoadLag      time.Duration
	RestartDelay time.Duration
	LeaveGrace   time.Duration
	Seed         uint64
}

// withDefaults replaces unset fields by their defaults.
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

// PlainCounters are the counters of a PlainService.
type PlainCounters struct {
	// Calls counts the calls that were run, Refused those that were not.
	Calls      int64 `json:"calls"`
	Refused    int64 `json:"refused"`
	Crashes    int64 `json:"crashes"`
	MaxRunning int   `json:"max_running"`
	// AfterLeave counts calls that arrived after the leave grace.
	AfterLeave int64 `json:"after_leave"`
	// Keys lists how often this service ran each idempotency key.
	Keys []Runs `json:"keys"`
}

// PlainService is a simulated plain service. It runs calls on all paths except
// those of the probes.
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

// Start starts the service's server at addr, host:port.
func (p *PlainService) Start(addr string) (*Server, error) {
	return p.start(addr, &standIn{
		faults:         p.faults,
		serve:          p.serve,
		inject:         p.Inject,
		counters:       func() any { return p.Counters() },
		replyCanBeLost: func(ctx *fasthttp.RequestCtx) bool { return !isProbe(string(ctx.Path())) },
	})
}

// Inject applies a fault. Under LoseReplies a call is run, and then its
// connection is reset.
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

// Counters returns a copy of the current counters.
func (p *PlainService) Counters() PlainCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.Crashes = p.crashes
	c.Keys = p.keys.list()
	return c
}

// Receipt returns the response body of a call with the given idempotency key and
// request body.
func Receipt(key string, body []byte) string {
	return fmt.Sprintf("receipt %016x %016x", xxhash.Sum64String(key), xxhash.Sum64(body))
}

// isProbe reports whether a path is that of a load or health probe.
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

// report returns the load report, whose Running lags by LoadLag.
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

// run runs a call in a slot, or refuses it.
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

// finish frees the slot, unless the endpoint has restarted since.
func (p *PlainService) finish(proc process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc.incarnation != proc.incarnation {
		return
	}
	p.running--
	p.load.set(time.Now(), p.running)
}
