package gateway

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
)

// inspectTimeout bounds the questions to an endpoint: what is silent for that
// long is dealt with as unreachable.
const inspectTimeout = 300 * time.Millisecond

// inspectDisputed asks at the addresses that two endpoints claim: an endpoint
// that has ended and started again may have the entry of its former process
// written once more by a late heartbeat. Sent to by its former name, it refused
// 518 requests, and 260 prompts were read in vain, while 16 engines started
// again within 34 s.
func (d *Daemon) inspectDisputed() {
	for _, e := range d.tables.list.Disputed() {
		d.inspect(e)
	}
}

// inspect asks an endpoint who it is, and takes its own word for it. It doesn't
// wait, and an endpoint that is being asked is not asked again.
func (d *Daemon) inspect(e registry.Endpoint) {
	if d.ctx.Err() != nil || !d.inspected.begin(e.Name) {
		return
	}
	go func() {
		defer d.inspected.end(e.Name)
		d.inspectSync(e)
	}()
}

// finding is what an endpoint said of itself.
type identityResult uint8

// The findings.
const (
	// unknown: it did not say.
	identityUnknown identityResult = iota
	// asListed: it is what its entry says.
	identityMatches
	// changed: it has another role than its entry says, or started again.
	identityChanged
	// displaced: another process has its address.
	identityDisplaced
)

// inspectNow asks an endpoint who it is, and waits for the answer.
func (d *Daemon) inspectSync(e registry.Endpoint) identityResult {
	path := d.healthPath(e.Service)
	if path == "" {
		return identityUnknown
	}
	ctx, cancel := context.WithTimeout(d.ctx, inspectTimeout)
	defer cancel()
	who, err := d.platform.Inspector.Instance(ctx, e, path)
	if err != nil {
		return identityUnknown
	}
	if who != e.Instance {
		d.displace(e, who)
		return identityDisplaced
	}
	if e.Role == "" {
		return identityMatches
	}
	state, err := d.platform.Engines.State(ctx, e)
	switch {
	case err != nil:
		return identityUnknown
	case state.Born > e.Born:
		d.markRestarted(e, state)
		return identityChanged
	case state.Role != e.Role:
		return identityChanged
	default:
		return identityMatches
	}
}

func (d *Daemon) healthPath(service id.Service) string {
	routes := d.tables.current().Routes
	if routes == nil {
		return ""
	}
	if s := routes.Service(service); s != nil {
		return s.HealthPath
	}
	return ""
}

// displace drops an endpoint at whose address another process answers.
func (d *Daemon) displace(e registry.Endpoint, by id.Instance) {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	if !d.tables.list.Displace(e) {
		return
	}
	d.logger.Event("endpoint_displaced", "endpoint", e.Name, "address", e.Address, "by", by)
	d.publish()
}

// restarted takes an engine's own word that it has started again.
func (d *Daemon) markRestarted(e registry.Endpoint, state EngineState) {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	if !d.tables.list.Restarted(e.Instance, state.Born, state.Role) {
		return
	}
	d.logger.Event("endpoint_restarted", "endpoint", e.Name, "born", state.Born, "role", state.Role)
	d.publish()
}
