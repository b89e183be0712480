package gateway

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// LeavingNotice is what an endpoint's own answer says of its leaving.
type LeavingNotice struct {
	Endpoint registry.Endpoint
	// Request is the caller's request that was answered; empty for a call on the daemon's
	// own behalf.
	Request id.Request
	// Invalid is the text of a notice that can't be used, which says nothing; empty if the
	// endpoint says that it leaves.
	Invalid string
}

// Notices are what endpoints say of themselves in their answers.
type Notices interface {
	// ReportLeaving sets the function that is called for each answer whose endpoint says
	// that it leaves, before the answer is passed on. It is set before the first request.
	ReportLeaving(report func(LeavingNotice))
}

// noticeCounts are the counters of the endpoints' notices.
type noticeCounts struct {
	leaving, invalid *metrics.Counter
}

func (d *Daemon) provisionNotices() {
	d.noticeCounts = noticeCounts{
		leaving: d.metrics.Counter("endpoints_said_leaving", metrics.UnitCount, "Endpoints that have said to this daemon, in an answer, that they leave."),
		invalid: d.metrics.Counter("endpoint_leaving_invalid", metrics.UnitCount, "Answers with a notice about the endpoint's leaving that can't be used."),
	}
	d.platform.Notices.ReportLeaving(d.handleLeaving)
}

// handleLeaving records an endpoint's own word that it leaves: from when the answer is
// passed on, this daemon sends it no new request, whatever its entry says. Requests under
// way go on.
func (d *Daemon) handleLeaving(n LeavingNotice) {
	if n.Invalid != "" {
		d.noticeCounts.invalid.Inc()
		d.logger.Routine("endpoint_leaving_invalid", "endpoint", n.Endpoint.Name, "request", n.Request, "text", n.Invalid)
		return
	}
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	if !d.tables.list.MarkLeaving(n.Endpoint.Name) {
		return
	}
	d.noticeCounts.leaving.Inc()
	d.logLeaving(n.Endpoint.Name, originAnswer, "instance", n.Endpoint.Instance, "address", n.Endpoint.Address, "request", n.Request)
	d.publish()
}

// originAnswer is the origin of a word that came in an answer to this daemon.
const originAnswer = "answer"

// logLeaving logs that an endpoint has said that it leaves, and what this daemon's view of
// the registry had of it; the lock must be held.
func (d *Daemon) logLeaving(name id.Endpoint, origin string, more ...any) {
	view := d.tables.current()
	entry, known := view.Endpoints[name]
	fields := []any{"endpoint", name, "origin", origin, "registry", view.Registry, "known", known, "entry_leaving", entry.Leaving}
	d.logger.Event("endpoint_leaving", append(fields, more...)...)
}
