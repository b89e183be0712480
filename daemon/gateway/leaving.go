package gateway

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
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

// leavingNews is another daemon's message that an endpoint has said that it leaves.
type leavingNews struct {
	Endpoint id.Endpoint `cbor:"1,keyasint"`
}

// noticeCounts are the counters of the endpoints' notices.
type noticeCounts struct {
	leaving, received, invalid *metrics.Counter
}

func (d *Daemon) provisionNotices() {
	d.noticeCounts = noticeCounts{
		leaving:  d.metrics.Counter("endpoints_said_leaving", metrics.UnitCount, "Endpoints that have said to this daemon, in an answer, that they leave."),
		received: d.metrics.Counter("endpoints_leaving_received", metrics.UnitCount, "Messages of other daemons that an endpoint has said that it leaves."),
		invalid:  d.metrics.Counter("endpoint_leaving_invalid", metrics.UnitCount, "Answers with a notice about the endpoint's leaving that can't be used."),
	}
	d.platform.Notices.ReportLeaving(d.handleLeaving)
}

// handleLeaving records an endpoint's own word that it leaves, and tells the other daemons
// of it: from when the answer is passed on, this daemon sends it no new request, whatever
// its entry says. Requests under way go on.
func (d *Daemon) handleLeaving(n LeavingNotice) {
	if n.Invalid != "" {
		d.noticeCounts.invalid.Inc()
		d.logger.Routine("endpoint_leaving_invalid", "endpoint", n.Endpoint.Name, "request", n.Request, "text", n.Invalid)
		return
	}
	isNew := d.markLeaving(n.Endpoint.Name, "origin", "answer", "instance", n.Endpoint.Instance, "address", n.Endpoint.Address, "request", n.Request)
	if isNew {
		d.noticeCounts.leaving.Inc()
		d.spreadLeaving(leavingNews{Endpoint: n.Endpoint.Name})
	}
}

// learnLeaving records an endpoint's word that another daemon has heard. In a large fleet
// the daemons that broadcast pass it on.
func (d *Daemon) learnLeaving(from id.Daemon, n leavingNews) {
	d.noticeCounts.received.Inc()
	isNew := d.markLeaving(n.Endpoint, "origin", "peer", "peer", from)
	if f := d.fleet.Load(); isNew && f != nil && f.members.Large() && f.broadcasts.Load() {
		d.spreadLeaving(n)
	}
}

// spreadLeaving sends an endpoint's word to the other daemons, once. One that the message
// does not reach hears it in an answer of the endpoint, or reads its entry.
func (d *Daemon) spreadLeaving(n leavingNews) {
	f := d.fleet.Load()
	if f == nil {
		return
	}
	to, _ := f.recipients()
	for _, other := range to {
		_ = f.transport.Send(other, kindLeaving, &n)
	}
}

// markLeaving marks an endpoint as leaving and puts that in force. It returns false if the
// word was known. The line tells what this daemon's view of the registry had of the
// endpoint; more are its other fields.
func (d *Daemon) markLeaving(name id.Endpoint, more ...any) bool {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	if !d.tables.list.MarkLeaving(name) {
		return false
	}
	view := d.tables.current()
	entry, known := view.Endpoints[name]
	fields := []any{"endpoint", name, "registry", table.FormatVersion(view.Registry), "known", known, "entry_leaving", entry.Leaving}
	d.logger.Event("endpoint_leaving", append(fields, more...)...)
	if known && !entry.Leaving {
		d.publish()
	}
	return true
}
