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

// keeperKey returns the key by which the keeper of the teams' accounts is chosen: the
// name of the first pool, so that the keeper is the owner of that pool, to which the
// daemons are connected anyway.
func keeperKey(routes *route.Table) string {
	names := poolNames(routes)
	if len(names) == 0 {
		return quotas.DefaultKey
	}
	return string(slices.Min(names))
}

// newQuotas starts the component that enforces the teams' limits.
func (d *Daemon) newQuotas(f *fleet, ready <-chan struct{}) *quotas.Quotas {
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
		Ready:   ready,
	})
}

// teamLimit returns a team's limit in the configuration in force; false if the team
// is not configured.
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

// quotaCharger implements forward.QuotaCharger with the fleet's quotas.
type quotaCharger struct{ d *Daemon }

// Charge implements forward.QuotaCharger.
func (q quotaCharger) Charge(ctx context.Context, team id.Team, limit quota.Limit, cost float64, patience time.Duration) *verdict.Error {
	f := q.d.fleet.Load()
	if f == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon is not enrolled in the fleet yet")
	}
	return f.quotas.Charge(ctx, team, limit, cost, patience)
}

// Refund implements forward.QuotaCharger.
func (q quotaCharger) Refund(team id.Team, cost float64) {
	if f := q.d.fleet.Load(); f != nil {
		f.quotas.Refund(team, cost)
	}
}
