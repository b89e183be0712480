package gateway

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// newManager creates the manager of a pool that this daemon owns.
func (d *Daemon) newManager(f *fleet, p id.Pool) *pool.Manager {
	calls := d.isCallPool(p)
	var limiter concurrency.Limiter
	if calls && d.scheduling.Load().LearnedLimits {
		limiter = concurrency.New(concurrency.Options{RoundTrip: callRoundTrip})
	}
	o := pool.Options{
		Pool:    p,
		Calls:   calls,
		Limiter: limiter,
		NewScheduler: func(view sched.HealthView) sched.Scheduler {
			d.logger.Event("pool_taken", "pool", p)
			if calls {
				return d.newCallScheduler(f, p, view, limiter)
			}
			return d.newEngineScheduler(f, p, view)
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
	}
	if calls {
		o.Health = callHealth
	}
	return pool.New(o)
}

// callHealth are the thresholds for endpoints of plain services. Their calls take
// milliseconds, so that a fault shows, and ends, much sooner than at an engine.
var callHealth = health.Config{
	HalfLife:   2 * time.Second,
	StuckAfter: time.Second,
	EjectMin:   time.Second,
	EjectMax:   8 * time.Second,
}

// isCallPool reports whether a pool is that of a plain service.
func (d *Daemon) isCallPool(p id.Pool) bool {
	routes := d.tables.current().Routes
	if routes == nil {
		return false
	}
	s := routes.Service(id.Service(p))
	return s != nil && s.Engine == nil
}

// newEngineScheduler creates the scheduler of a pool of engines.
func (d *Daemon) newEngineScheduler(f *fleet, p id.Pool, view sched.HealthView) sched.Scheduler {
	set := d.scheduling.Load()
	return kvsched.New(kvsched.Options{
		Pool: p,
		Self: f.self,
		// A manager that is created again must not reuse the reservation
		// numbers of its predecessor.
		FirstReservation: uint64(d.now()),
		Disabled:         d.set.Disable,
		ForecastRefusal:  set.ForecastRefusal,
		UrgentReserve:    set.UrgentReserve,
		Health:           view,
		Violation:        d.metrics.Violation,
	})
}

// callRoundTrip is the time of the messages between the end of a call and the arrival of the
// next one at its endpoint: the end to the owner, the grant to a daemon, and the call itself.
const callRoundTrip = 6 * time.Millisecond

// newCallScheduler creates the scheduler of a plain service's pool; limiter is nil for fixed
// limits.
func (d *Daemon) newCallScheduler(f *fleet, p id.Pool, view sched.HealthView, limiter concurrency.Limiter) sched.Scheduler {
	return callsched.New(callsched.Options{
		Pool:             p,
		Self:             f.self,
		FirstReservation: uint64(d.now()),
		Limiter:          limiter,
		Health:           view,
		Violation:        d.metrics.Violation,
	})
}

// pairer implements forward.Pairer with the fleet's broker.
type pairer struct{ d *Daemon }

// Pair implements forward.Pairer.
func (p pairer) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	f := p.d.fleet.Load()
	if f == nil {
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon is not enrolled in the fleet yet").
			WithCause(pairing.ErrUndecided)
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
