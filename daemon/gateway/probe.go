package gateway

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// probeEvery is the pause between two looks at an engine that could not be
// reached.
const probeInterval = 400 * time.Millisecond

// probes are the engines that are being looked at.
type activeChecks struct {
	mu     sync.Mutex
	active map[id.Endpoint]bool
}

// begin says whether the engine is not being looked at yet.
func (p *activeChecks) begin(e id.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[e] {
		return false
	}
	if p.active == nil {
		p.active = map[id.Endpoint]bool{}
	}
	p.active[e] = true
	return true
}

func (p *activeChecks) end(e id.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, e)
}

// probe looks at an engine that could not be reached until it answers as the
// one that is registered, or is no longer registered. It does not block: the pool's owner asks within its duty.
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
