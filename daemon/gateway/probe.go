package gateway

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// probeInterval is the pause between two probes of an endpoint that could not be
// reached.
const probeInterval = 400 * time.Millisecond

// activeChecks is the set of endpoints with a check in progress. It is safe for
// concurrent use.
type activeChecks struct {
	mu     sync.Mutex
	active map[id.Endpoint]bool
}

// begin adds an endpoint. It returns false if a check of it is in progress already.
func (a *activeChecks) begin(e id.Endpoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active[e] {
		return false
	}
	if a.active == nil {
		a.active = map[id.Endpoint]bool{}
	}
	a.active[e] = true
	return true
}

func (a *activeChecks) end(e id.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, e)
}

// probe checks an unreachable endpoint in the background until it answers as the
// registered process, or is no longer registered. It does not block, since the pool's
// manager calls it within the broker's duty.
func (d *Daemon) probe(f *fleet, p id.Pool, e id.Endpoint) {
	if !d.probes.begin(e) {
		return
	}
	go func() {
		defer d.probes.end(e)
		for d.ctx.Err() == nil {
			endpoint, known := d.tables.current().Endpoints[e]
			if !known {
				return
			}
			if d.inspectSync(endpoint) == identityMatches {
				f.broker.Load(p, sched.Load{Endpoint: e, Reachable: true})
				return
			}
			if !d.sleep(probeInterval) {
				return
			}
		}
	}()
}
