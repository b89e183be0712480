package experiment

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/standin"
)

// fairnessTeams is the number of teams that share the load; the last one
// misbehaves.
const fairnessTeams = 4

// fairnessLoad is the load of all teams together as a share of the capacity, when
// none misbehaves: each team uses a fifth of the capacity.
const fairnessLoad = 0.8

// fairnessPatience bounds how long the retrying team retries a request.
const fairnessPatience = 8 * time.Second

var (
	fairnessBehaviours = []load.Behaviour{
		load.BehaviourNormal, load.BehaviourFlood, load.BehaviourCancel, load.BehaviourRetry,
	}
	fairnessPolicies = []settings.Policy{settings.PolicyLedger, settings.PolicyNaive}
)

// fairnessRun is the configuration of one run.
type fairnessRun struct {
	behaviour load.Behaviour
	policy    settings.Policy
}

// FairnessFigures are the results of one run.
type FairnessFigures struct {
	Behaviour load.Behaviour  `json:"behaviour"`
	Policy    settings.Policy `json:"policy"`
	// OthersGood is the number of completions of the other teams that met both
	// targets, and OthersSent the number that they sent.
	OthersGood int `json:"others_good"`
	OthersSent int `json:"others_sent"`
	// OthersRefused and OthersLate are the numbers of their completions that were
	// refused, and that were answered but missed a target.
	OthersRefused int                `json:"others_refused"`
	OthersLate    int                `json:"others_late"`
	Result        *load.Result       `json:"result"`
	Work          fleet.EngineTotals `json:"work"`
}

// runFairness measures how a misbehaving team affects the others. The others send
// the same requests at the same times in every run.
func runFairness(ctx context.Context, env Env) (*Report, error) {
	var runs []fairnessRun
	for _, policy := range fairnessPolicies {
		for _, behaviour := range fairnessBehaviours {
			runs = append(runs, fairnessRun{behaviour, policy})
		}
	}
	figures, err := each(ctx, env, runs, func(ctx context.Context, r fairnessRun) (FairnessFigures, error) {
		env.logf("fairness policy=%s behaviour=%s", r.policy, r.behaviour)
		return fairnessOnce(ctx, env, r)
	})
	if err != nil {
		return nil, err
	}
	report := &Report{Experiment: "fairness", Seed: env.Seed, Data: figures}
	baselines := map[settings.Policy]FairnessFigures{}
	for _, f := range figures {
		if f.Behaviour == load.BehaviourNormal {
			baselines[f.Policy] = f
		}
	}
	for _, f := range figures {
		report.addFairness(f, baselines[f.Policy])
	}
	return report, nil
}

func fairnessOnce(ctx context.Context, env Env, r fairnessRun) (FairnessFigures, error) {
	d := Bunker()
	d.Profile.PlainShare = 0
	fleetTeams, loadTeams := d.Teams(fairnessTeams)
	loadTeams[fairnessTeams-1].Behaviour = r.behaviour
	if r.behaviour == load.BehaviourRetry {
		// A team that retries forever affects the others only if it requests more
		// than its share.
		loadTeams[fairnessTeams-1].Weight = retryWeight
	}
	f, err := fleet.Start(ctx, fleet.Config{
		Sites: sitesOf(d), Daemons: env.Daemons, Policy: r.policy, Teams: fleetTeams,
	})
	if err != nil {
		return FairnessFigures{}, err
	}
	defer f.Close()
	bound := BoundOf(d.Site, d.Profile, d.FirstToken)
	spec := d.spec(env, f, loadTeams, fairnessLoad*bound.Capacity*meanWeight(loadTeams))
	spec.Timeout = fairnessPatience
	res, work, err := measure(ctx, env, f, spec)
	if err != nil {
		return FairnessFigures{}, err
	}
	out := FairnessFigures{Behaviour: r.behaviour, Policy: r.policy, Result: res, Work: work}
	for _, t := range res.Teams[:fairnessTeams-1] {
		out.OthersGood += t.Good
		out.OthersSent += t.Requests
		out.OthersRefused += t.Refused
		out.OthersLate += t.Answered - t.Good
	}
	return out, nil
}

// retryWeight is the load weight of the team that retries forever.
const retryWeight = 4

// meanWeight returns the mean weight of the teams. The total rate is multiplied by
// it, so that the rate of the other teams stays the same when the weight of one
// team is raised.
func meanWeight(teams []load.Team) float64 {
	var total float64
	for _, t := range teams {
		total += max(t.Weight, 1)
	}
	return total / float64(len(teams))
}

// addFairness adds the line of a run: the results of the other teams, and the
// difference from the baseline run, in which no team misbehaves.
func (r *Report) addFairness(f, baseline FairnessFigures) {
	r.addLine("policy=%s behaviour=%s others_sent=%d others_good=%.1f%% others_refused=%d others_late=%d calm_good=%.1f%% change=%+.1fpp "+
		"misbehaving_requests=%d misbehaving_attempts=%d misbehaving_answered=%d lost=%d doubled=%d wrong=%d held_after_cancel=%d wasted_prefill=%.1f%% send_lag_p99=%.1fms",
		f.Policy, f.Behaviour, f.OthersSent, f.share(), f.OthersRefused, f.OthersLate, baseline.share(), f.share()-baseline.share(),
		f.Result.Teams[fairnessTeams-1].Requests, f.Result.Teams[fairnessTeams-1].Attempts, f.Result.Teams[fairnessTeams-1].Answered,
		f.Result.Total.Lost, f.Result.Total.Doubled, f.Result.Total.Wrong, f.Work.HeldAfterCancel, 100*f.Work.WastedShare(), f.Result.Lag.P99MS)
	r.addFaults(string(f.Policy)+" "+string(f.Behaviour), f.Result, f.Work)
}

// share returns the share of the other teams' completions that met both targets,
// in percent.
func (f FairnessFigures) share() float64 {
	if f.OthersSent == 0 {
		return 0
	}
	return 100 * float64(f.OthersGood) / float64(f.OthersSent)
}

func sitesOf(d Deployment) []standin.PlatformConfig { return []standin.PlatformConfig{d.Site} }
