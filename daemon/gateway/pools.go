package gateway

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// newManager creates the manager of a pool that this daemon owns.
func (d *Daemon) newManager(f *fleet, p id.Pool) *pool.Manager {
	return pool.New(pool.Options{
		Pool: p,
		NewScheduler: func(view sched.HealthView) sched.Scheduler {
			d.logger.Event("pool_taken", "pool", p)
			return kvsched.New(kvsched.Options{
				Pool: p,
				Self: f.self,
				// A manager that is created again must not reuse the reservation
				// numbers of its predecessor.
				FirstReservation: uint64(d.now()),
				Disabled:         d.set.Disable,
				ForecastRefusal:  d.set.Scheduling.ForecastRefusal,
				UrgentReserve:    d.set.Scheduling.UrgentReserve,
				AvoidLossy:       d.set.Scheduling.AvoidLossy,
				Health:           view,
				Violation:        d.metrics.Violation,
			})
		},
		// The ledger stays empty. Endpoints restart under other names on this
		// platform, so that a pool cannot tell them from new endpoints. The
		// forwarder checks requests before they reach a pool, and a pool gets no
		// fingerprints.
		Poison: poison.New(poison.Config{}),
		Epoch:  *d.epoch.Load(),
		Events: pool.Events{
			Health: func(c health.Change) {
				d.logger.Event("health_changed", "endpoint", c.Endpoint, "state", c.State, "why", c.Reason, "for", c.For)
			},
			Probe: func(e id.Endpoint) { d.probe(f, p, e) },
		},
	})
}

// pairer implements forward.Pairer with the fleet's broker.
type pairer struct{ d *Daemon }

// Pair implements forward.Pairer.
func (p pairer) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	f := p.d.fleet.Load()
	if f == nil {
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon is not enrolled in the fleet yet")
	}
	return f.broker.Pair(ctx, w, patience)
}

// Progress implements forward.Pairer.
func (p pairer) Progress(progress sched.Progress) {
	if f := p.d.fleet.Load(); f != nil {
		f.broker.Progress(progress)
	}
}

// self returns this daemon's process; its incarnation is zero until it has enrolled.
func (d *Daemon) self() id.Process {
	if f := d.fleet.Load(); f != nil {
		return f.self
	}
	return id.Process{Daemon: d.set.Daemon}
}
