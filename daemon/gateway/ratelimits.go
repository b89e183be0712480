package gateway

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/ratelimit"
)

// fleetNames returns the daemons that share the rate limits of endpoints, this one
// included.
func (d *Daemon) fleetNames() []id.Daemon {
	if f := d.fleet.Load(); f != nil {
		return append(f.members.Others(), f.self.Daemon)
	}
	return []id.Daemon{d.set.Daemon}
}

// spreadLimit sends a rate limit that an endpoint has named to the other daemons. It is
// sent again while the endpoint names it, so that losses need no retry.
func (d *Daemon) spreadLimit(n ratelimit.Named) {
	f := d.fleet.Load()
	if f == nil {
		return
	}
	to, _ := f.recipients()
	for _, other := range to {
		_ = f.transport.Send(other, kindLimit, &n)
	}
}

// learnLimit records a rate limit that another daemon was named. In a large fleet the
// daemons that broadcast pass it on.
func (d *Daemon) learnLimit(n ratelimit.Named) {
	isNew := d.forwarder.LearnLimit(n)
	f := d.fleet.Load()
	if isNew && f != nil && f.members.Large() && f.broadcasts.Load() {
		d.spreadLimit(n)
	}
}
