package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// keeperKey is what the keeper of teams' accounts is chosen by: it owns the
// first of the pools, so that daemons are connected to it anyway.
func keeperKey(routes *route.Table) string {
	names := poolNames(routes)
	if len(names) == 0 {
		return quotas.DefaultKey
	}
	return string(slices.Min(names))
}

// newQuotas starts the duty that holds teams to their limits.
func (d *Daemon) newQuotas(f *fleet, wired <-chan struct{}) *quotas.Quotas {
	return quotas.New(quotas.Config{
		Self:  f.self.Daemon,
		Send:  f.links().SendQuota,
		Limit: d.teamLimit,
		Tolerance: quota.Tolerance{
			Window:    Seconds(d.set.Bounds.QuotaWindowS),
			Overshoot: d.set.Bounds.QuotaOvershoot,
			Slack:     d.set.Bounds.QuotaSlack,
		},
		Fleet:   f.count,
		Log:     d.logger.Event,
		Metrics: d.metrics,
		Now:     d.now,
		Ready:   wired,
	})
}

// limitOf is a team's by the configuration in force.
func (d *Daemon) teamLimit(name id.Team) (quota.Limit, bool) {
	routes := d.tables.current().Routes
	if routes == nil {
		return quota.Limit{}, false
	}
	team := routes.Team(name)
	if team == nil {
		return quota.Limit{}, false
	}
	return team.Limit, true
}

// payer implements forward.Payer with the fleet's quotas.
type payer struct{ d *Daemon }

// Pay implements forward.Payer.
func (p payer) Pay(ctx context.Context, team id.Team, limit quota.Limit, cost float64, patience time.Duration) *verdict.Error {
	f := p.d.fleet.Load()
	if f == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon is not enrolled in the fleet yet")
	}
	return f.quotas.Pay(ctx, team, limit, cost, patience)
}

// Return implements forward.Payer.
func (p payer) Return(team id.Team, cost float64) {
	if f := p.d.fleet.Load(); f != nil {
		f.quotas.Return(team, cost)
	}
}
