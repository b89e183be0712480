package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// DefaultLoadsPerSecond is the default rate at which the weight store grants
// loads.
const DefaultLoadsPerSecond = 2.0

// WeightCounters are the counters of a weight store.
type WeightCounters struct {
	Granted int64 `json:"granted"`
	Refused int64 `json:"refused"`
}

// WeightStore is a simulated weight store, which grants loads at a limited rate.
type WeightStore struct {
	faults   *faults
	limiter  *rate.Limiter
	mu       sync.Mutex
	counters WeightCounters
}

// NewWeightStore returns a store that grants loadsPerSecond loads a second; 0 or
// less takes the default.
func NewWeightStore(loadsPerSecond float64, seed uint64) *WeightStore {
	if loadsPerSecond <= 0 {
		loadsPerSecond = DefaultLoadsPerSecond
	}
	limiter := rate.NewLimiter(rate.Limit(loadsPerSecond), max(1, int(loadsPerSecond)))
	return &WeightStore{faults: newFaults(seed), limiter: limiter}
}

// Start starts the weight store's server at addr, host:port.
func (w *WeightStore) Start(addr string) (*Server, error) {
	return startStandIn(addr, &standIn{
		faults:         w.faults,
		serve:          w.serve,
		inject:         w.Inject,
		counters:       func() any { return w.Counters() },
		replyCanBeLost: func(*fasthttp.RequestCtx) bool { return true },
	})
}

// Inject applies a fault.
func (w *WeightStore) Inject(f wire.Fault) { w.faults.apply(f) }

// Counters returns a copy of the current counters.
func (w *WeightStore) Counters() WeightCounters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters
}

// serve handles a call.
func (w *WeightStore) serve(ctx *fasthttp.RequestCtx) {
	model, ok := strings.CutPrefix(string(ctx.Path()), wire.PathWeights)
	if !ok || model == "" {
		notFound(ctx)
		return
	}
	setJSON(ctx, w.grant())
}

// grant grants a load, or returns the delay after which to retry.
func (w *WeightStore) grant() wire.WeightGrant {
	w.mu.Lock()
	defer w.mu.Unlock()
	reservation := w.limiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		w.counters.Granted++
		return wire.WeightGrant{Granted: true}
	}
	reservation.Cancel()
	w.counters.Refused++
	wait := (delay + time.Millisecond - 1) / time.Millisecond
	return wire.WeightGrant{RetryAfterMS: int(wait)}
}
