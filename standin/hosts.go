package standin

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// HostCounters are the counters of a HostList.
type HostCounters struct {
	Reads int64 `json:"reads"`
}

// HostList is the platform's list of entry hosts. Readers see a change after the
// lag.
type HostList struct {
	faults   *faults
	mu       sync.Mutex
	hosts    *lagged[[]wire.Host]
	counters HostCounters
}

// NewHostList returns a list whose initial hosts are visible immediately.
func NewHostList(lag time.Duration, hosts []wire.Host, seed uint64) *HostList {
	return &HostList{faults: newFaults(seed), hosts: newLagged(lag, hosts)}
}

// Start starts the host list's server at addr, host:port.
func (h *HostList) Start(addr string) (*Server, error) {
	return startStandIn(addr, &standIn{
		faults:         h.faults,
		serve:          h.serve,
		inject:         h.Inject,
		counters:       func() any { return h.Counters() },
		replyCanBeLost: func(*fasthttp.RequestCtx) bool { return false },
	})
}

// Set replaces the list; readers see the change after the lag.
func (h *HostList) Set(hosts []wire.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts.set(time.Now(), append([]wire.Host(nil), hosts...))
}

// Inject applies a fault; a non-nil Hosts in it replaces the list.
func (h *HostList) Inject(f wire.Fault) {
	h.faults.apply(f)
	if f.Hosts != nil {
		h.Set(f.Hosts)
	}
}

// Counters returns a copy of the current counters.
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
