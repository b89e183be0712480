package standin

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// HostCounters counts what a host list did.
type HostCounters struct {
	Reads int64 `json:"reads"`
}

// HostList is the platform's list of entry hosts, which lags.
type HostList struct {
	faults   *faults
	mu       sync.Mutex
	hosts    *lagged[[]wire.Host]
	counters HostCounters
}

// NewHostList returns a list whose first state is visible at once.
func NewHostList(lag time.Duration, hosts []wire.Host, seed uint64) *HostList {
	return &HostList{faults: newFaults(seed), hosts: newLagged(lag, hosts)}
}

// Start listens at addr.
func (h *HostList) Start(addr string) (*Server, error) {
	return startStandIn(addr, &standIn{
		faults:         h.faults,
		serve:          h.serve,
		inject:         h.Inject,
		counters:       func() any { return h.Counters() },
		replyCanBeLost: func(*fasthttp.RequestCtx) bool { return false },
	})
}

// Set replaces the list; callers see it after the lag.
func (h *HostList) Set(hosts []wire.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts.set(time.Now(), append([]wire.Host(nil), hosts...))
}

// Inject applies a fault; a list of hosts in it replaces the list.
func (h *HostList) Inject(f wire.Fault) {
	h.faults.apply(f)
	if f.Hosts != nil {
		h.Set(f.Hosts)
	}
}

// Counters returns the counts so far.
func (h *HostList) Counters() HostCounters {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counters
}

// serve handles a call.
func (h *HostList) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != wire.PathHosts {
		notFound(ctx)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counters.Reads++
	setJSON(ctx, wire.HostList{Hosts: h.hosts.get(time.Now())})
}
