package experiment

import (
	"context"
	"fmt"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

// The loads, as shares of the capacity of the bound, and the compared policies.
var (
	routingLoads    = []float64{0.7, 0.9, 1.1}
	routingPolicies = []settings.Policy{
		settings.PolicyLedger, settings.PolicyLedgerEarly, settings.PolicyOptimistic, settings.PolicyNaive,
	}
)

// routingTeams is the number of teams that share the load.
const routingTeams = 4

// routingRun is the configuration of one run.
type routingRun struct {
	deployment Deployment
	policy     settings.Policy
	load       float64
}

// RoutingFigures are the results of one run.
type RoutingFigures struct {
	Deployment string          `json:"deployment"`
	Policy     settings.Policy `json:"policy"`
	// Load is the rate of completions as a share of the capacity.
	Load  float64 `json:"load"`
	Bound Bound   `json:"bound"`
	// BoundGoodput is the goodput of the bound at the actual arrival rate, in
	// completions per second.
	BoundGoodput float64            `json:"bound_goodput_per_second"`
	WastedShare  float64            `json:"wasted_share"`
	Result       *load.Result       `json:"result"`
	Work         fleet.EngineTotals `json:"work"`
}

// runRouting compares the policies on the same arrivals.
func runRouting(ctx context.Context, env Env) (*Report, error) {
	runs := routingRuns()
	figures, err := each(ctx, env, runs, func(ctx context.Context, r routingRun) (RoutingFigures, error) {
		env.logf("routing deployment=%s policy=%s load=%.1f", r.deployment.Name, r.policy, r.load)
		return routeOnce(ctx, env, r)
	})
	if err != nil {
		return nil, err
	}
	report := &Report{Experiment: "routing", Seed: env.Seed, Data: figures}
	for _, f := range figures {
		report.addRouting(f)
	}
	for _, d := range Deployments() {
		report.Figures = append(report.Figures, goodputFigure(d.Name, figures), wasteFigure(d.Name, figures))
	}
	return report, nil
}

func routingRuns() []routingRun {
	var runs []routingRun
	for _, d := range Deployments() {
		// Only completions are sent: plain calls have their own endpoints.
		d.Profile.PlainShare = 0
		for _, share := range routingLoads {
			for _, policy := range routingPolicies {
				runs = append(runs, routingRun{d, policy, share})
			}
		}
	}
	return runs
}

// routeOnce starts a fleet, sends the load and measures the results.
func routeOnce(ctx context.Context, env Env, r routingRun) (RoutingFigures, error) {
	fleetTeams, loadTeams := r.deployment.Teams(routingTeams)
	f, err := fleet.Start(ctx, fleet.Config{
		Sites: sitesOf(r.deployment), Daemons: env.Daemons, Policy: r.policy, Teams: fleetTeams,
	})
	if err != nil {
		return RoutingFigures{}, fmt.Errorf("%s %s: %w", r.deployment.Name, r.policy, err)
	}
	defer f.Close()
	bound := BoundOf(r.deployment.Site, r.deployment.Profile, r.deployment.FirstToken)
	rate := r.load * bound.Capacity
	res, work, err := measure(ctx, env, f, r.deployment.spec(env, f, loadTeams, rate))
	if err != nil {
		return RoutingFigures{}, err
	}
	arrived := float64(res.Total.Requests) / res.Measured.Seconds()
	return RoutingFigures{
		Deployment: r.deployment.Name, Policy: r.policy, Load: r.load,
		Bound: bound, BoundGoodput: bound.Goodput(arrived),
		WastedShare: work.WastedShare(), Result: res, Work: work,
	}, nil
}

// addRouting adds the line of a run.
func (r *Report) addRouting(f RoutingFigures) {
	t := f.Result.Total
	r.addLine("deployment=%s policy=%s load=%.1f rate=%.1f/s goodput=%.1f/s bound=%.1f/s of_bound=%.0f%% wasted_prefill=%.1f%% "+
		"answered=%d refused=%d failed=%d lost=%d doubled=%d wrong=%d ttft_p95=%.0fms pace_p95=%.1fms send_lag_p99=%.1fms",
		f.Deployment, f.Policy, f.Load, f.Result.Rate, t.GoodputPerSecond, f.BoundGoodput,
		100*t.GoodputPerSecond/f.BoundGoodput, 100*f.WastedShare,
		t.Answered, t.Refused, t.Failed, t.Lost, t.Doubled, t.Wrong, t.TTFT.P95MS, t.Pace.P95MS, f.Result.Lag.P99MS)
	r.addFaults(fmt.Sprintf("%s %s %.1f", f.Deployment, f.Policy, f.Load), f.Result, f.Work)
}

func goodputFigure(deployment string, figures []RoutingFigures) Figure {
	fig := Figure{
		Name: "routing-goodput-" + deployment, Title: "Goodput, " + deployment,
		XLabel: "load, share of capacity", YLabel: "goodput, completions a second",
	}
	fig.Series = routingSeries(deployment, figures, func(f RoutingFigures) float64 { return f.Result.Total.GoodputPerSecond })
	bound := Series{Name: "bound"}
	for _, f := range figures {
		if f.Deployment == deployment && f.Policy == settings.PolicyLedger {
			bound.X = append(bound.X, f.Load)
			bound.Y = append(bound.Y, f.BoundGoodput)
		}
	}
	fig.Series = append(fig.Series, bound)
	return fig
}

func wasteFigure(deployment string, figures []RoutingFigures) Figure {
	return Figure{
		Name: "routing-waste-" + deployment, Title: "Wasted prefill, " + deployment,
		XLabel: "load, share of capacity", YLabel: "wasted prefill, percent",
		Series: routingSeries(deployment, figures, func(f RoutingFigures) float64 { return 100 * f.WastedShare }),
	}
}

func routingSeries(deployment string, figures []RoutingFigures, value func(RoutingFigures) float64) []Series {
	var out []Series
	for _, policy := range routingPolicies {
		s := Series{Name: string(policy)}
		for _, f := range figures {
			if f.Deployment == deployment && f.Policy == policy {
				s.X = append(s.X, f.Load)
				s.Y = append(s.Y, value(f))
			}
		}
		out = append(out, s)
	}
	return out
}
