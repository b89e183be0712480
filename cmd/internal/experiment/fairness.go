package experiment

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/standin"
)

// fairnessTeams share the load; the last of them misbehaves.
const fairnessTeams = 4

// fairnessLoad is the share of the capacity that all teams together ask for
// when all behave: each asks for a fifth.
const fairnessLoad = 0.8

// fairnessPatience bounds how long the team that retries goes on.
const fairnessPatience = 8 * time.Second

var (
	fairnessBehaviours = []load.Behaviour{
		load.BehaviourNormal, load.BehaviourFlood, load.BehaviourCancel, load.BehaviourRetry,
	}
	fairnessPolicies = []settings.Policy{settings.PolicyLedger, settings.PolicyNaive}
)

// fairnessRun is one run.
type fairnessRun struct {
	behaviour load.Behaviour
	policy    settings.Policy
}

// FairnessFigures are the figures of one run.
type FairnessFigures struct {
	Behaviour load.Behaviour  `json:"behaviour"`
	Policy    settings.Policy `json:"policy"`
	// OthersGood is the completions of the other teams that met both targets,
	// and OthersSent how many they sent.
	OthersGood int `json:"others_good"`
	OthersSent int `json:"others_sent"`
	// OthersRefused and OthersLate are those that were refused, and those that
	// were answered but missed a target.
	OthersRefused int          `json:"others_refused"`
	OthersLate    int          `json:"others_late"`
	Result        *load.Result `json:"result"`
	Work          fleet.Work   `json:"work"`
}

// runFairness measures what a misbehaving team costs the others. The others
// send the same requests at the same times in every run.
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
	calm := map[settings.Policy]FairnessFigures{}
	for _, f := range figures {
		if f.Behaviour == load.BehaviourNormal {
			calm[f.Policy] = f
		}
	}
	for _, f := range figures {
		report.fairness(f, calm[f.Policy])
	}
	return report, nil
}

func fairnessOnce(ctx context.Context, env Env, r fairnessRun) (FairnessFigures, error) {
	d := Bunker()
	d.Profile.PlainShare = 0
	ofFleet, ofLoad := d.Teams(fairnessTeams)
	ofLoad[fairnessTeams-1].Behaviour = r.behaviour
	if r.behaviour == load.BehaviourRetry {
		// A team that retries forever hurts when it asks for more than its share.
		ofLoad[fairnessTeams-1].Weight = retryWeight
	}
	f, err := fleet.Start(ctx, fleet.Config{
		Sites: siteOf(d), Daemons: env.Daemons, Policy: r.policy, Teams: ofFleet,
	})
	if err != nil {
		return FairnessFigures{}, err
	}
	defer f.Close()
	bound := BoundOf(d.Site, d.Profile, d.FirstToken)
	spec := d.spec(env, f, ofLoad, fairnessLoad*bound.Capacity*totalShare(ofLoad))
	spec.Patience = fairnessPatience
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

// retryWeight is the weight of the team that retries forever.
const retryWeight = 4

// totalShare keeps the rate of the other teams what it is when one team's
// weight is raised.
func totalShare(teams []load.Team) float64 {
	var total float64
	for _, t := range teams {
		total += max(t.Weight, 1)
	}
	return total / float64(len(teams))
}

// fairness adds the line of a run: what the others got, and against the run in
// which all behave.
func (r *Report) fairness(f, calm FairnessFigures) {
	r.add("policy=%s behaviour=%s others_sent=%d others_good=%.1f%% others_refused=%d others_late=%d calm_good=%.1f%% change=%+.1fpp "+
		"misbehaving_requests=%d misbehaving_attempts=%d misbehaving_answered=%d lost=%d doubled=%d wrong=%d held_after_cancel=%d wasted_prefill=%.1f%% send_lag_p99=%.1fms",
		f.Policy, f.Behaviour, f.OthersSent, f.share(), f.OthersRefused, f.OthersLate, calm.share(), f.share()-calm.share(),
		f.Result.Teams[fairnessTeams-1].Requests, f.Result.Teams[fairnessTeams-1].Attempts, f.Result.Teams[fairnessTeams-1].Answered,
		f.Result.Total.Lost, f.Result.Total.Doubled, f.Result.Total.Wrong, f.Work.HeldAfterCancel, 100*f.Work.WastedShare(), f.Result.Lag.P99MS)
	r.faults(string(f.Policy)+" "+string(f.Behaviour), f.Result, f.Work)
}

// share is the other teams' good share, in percent.
func (f FairnessFigures) share() float64 {
	if f.OthersSent == 0 {
		return 0
	}
	return 100 * float64(f.OthersGood) / float64(f.OthersSent)
}

func siteOf(d Deployment) []standin.PlatformConfig { return []standin.PlatformConfig{d.Site} }
