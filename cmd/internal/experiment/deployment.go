package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/standin"
)

// Deployment is a site with its load profile and its latency targets.
type Deployment struct {
	Name       string
	Site       standin.PlatformConfig
	Profile    load.Profile
	FirstToken time.Duration
	Pace       time.Duration
}

// Bunker returns the deployment of the order desk.
func Bunker() Deployment {
	return Deployment{
		Name: load.ProfileBunker, Site: standin.Bunker(), Profile: load.Bunker(),
		FirstToken: load.DefaultFirstTokenTarget, Pace: load.DefaultPaceTarget,
	}
}

// Companeros returns the deployment of the matching service. Its first-token
// target is the patience of the site, since its notes are not urgent.
func Companeros() Deployment {
	site := standin.Companeros()
	return Deployment{
		Name: load.ProfileCompaneros, Site: site, Profile: load.Companeros(),
		FirstToken: time.Duration(site.PatienceMS) * time.Millisecond, Pace: load.DefaultPaceTarget,
	}
}

// Deployments returns all deployments.
func Deployments() []Deployment { return []Deployment{Bunker(), Companeros()} }

// Expected returns the output of the stand-in engines for a prompt.
func Expected(_, prompt string, maxTokens int) string {
	return standin.Answer(prompt, maxTokens)
}

// Teams returns n teams of a deployment, as configured in the fleet and as used by
// the load.
func (d Deployment) Teams(n int) ([]fleet.Team, []load.Team) {
	var fleetTeams []fleet.Team
	var loadTeams []load.Team
	for i := range n {
		name := fmt.Sprintf("%s-team-%d", d.Name, i+1)
		key := "key-of-" + name
		fleetTeams = append(fleetTeams, fleet.Team{Name: name, Key: key})
		loadTeams = append(loadTeams, load.Team{Name: name, Key: key, Profile: d.Profile})
	}
	return fleetTeams, loadTeams
}

// spec returns the specification of a load run against a fleet, at a rate in
// requests per second.
func (d Deployment) spec(env Env, f *fleet.Fleet, teams []load.Team, rate float64) load.Spec {
	return load.Spec{
		Entry: f.CallerAddresses(), Teams: teams, Rate: rate, Seed: env.Seed,
		Duration: env.Warmup + env.Duration, Warmup: env.Warmup,
		FirstTokenTarget: d.FirstToken, PaceTarget: d.Pace,
		// A retry after the targets have passed adds nothing to goodput, and a
		// single attempt keeps the offered rate equal to Rate.
		MaxAttempts: 1,
		Expect:      Expected, PlainRuns: f.PlainRuns,
	}
}

// measure sends the load and returns its result and the engines' work, both
// without the warm-up. Wasted tokens are counted only when a KV cache expires, so
// their count starts later by the lifetime of a KV cache. It then covers the waste
// of the counted work.
func measure(ctx context.Context, env Env, f *fleet.Fleet, spec load.Spec) (*load.Result, fleet.EngineTotals, error) {
	atWarm := snapshotAfter(env.Warmup, f)
	atWaste := snapshotAfter(env.Warmup+standin.DefaultKVLifetime, f)
	res, err := load.Run(ctx, spec)
	if err != nil {
		return nil, fleet.EngineTotals{}, err
	}
	settle(ctx, f)
	end := f.EngineTotals()
	work := end.Since(atWarm())
	work.WastedTokens = end.Since(atWaste()).WastedTokens
	return res, work, ctx.Err()
}

// snapshotAfter takes a snapshot of the engines' work after d. The returned
// function returns the snapshot, or zero if d has not passed yet.
func snapshotAfter(d time.Duration, f *fleet.Fleet) func() fleet.EngineTotals {
	var mu sync.Mutex
	var work fleet.EngineTotals
	timer := time.AfterFunc(d, func() {
		mu.Lock()
		defer mu.Unlock()
		work = f.EngineTotals()
	})
	return func() fleet.EngineTotals {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		return work
	}
}

// Timing of settle.
const (
	settleTimeout = 3 * time.Second
	settlePause   = 50 * time.Millisecond
)

// settle waits until the engines hold no work, at most for the time that
// cancellations may take. Work that they hold afterwards is a fault.
func settle(ctx context.Context, f *fleet.Fleet) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for w := f.EngineTotals(); w.Running > 0 || w.KVHeld > 0; w = f.EngineTotals() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(settlePause):
		}
	}
}

// addFaults adds faults for outcomes of a run that must never occur.
func (r *Report) addFaults(run string, res *load.Result, work fleet.EngineTotals) {
	if n := res.Faults(); n > 0 {
		r.addFault("%s: lost=%d doubled=%d wrong=%d", run, res.Total.Lost, res.Total.Doubled, res.Total.Wrong)
	}
	if work.HeldAfterCancel > 0 || work.Running > 0 {
		r.addFault("%s: held_after_cancel=%d running=%d", run, work.HeldAfterCancel, work.Running)
	}
	if work.RanTwice > 0 {
		r.addFault("%s: ran_twice=%d", run, work.RanTwice)
	}
}
