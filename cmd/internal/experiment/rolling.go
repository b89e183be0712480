package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// Parameters of the experiment.
const (
	rollingLoadShare = 0.6
	// rollingEntryLifeMS is the lifetime of entry answers. It is short, so that a
	// planned stop does not wait long for callers that still use an old answer.
	rollingEntryLifeMS = 1000
	rollingDrainMS     = 8000
	// leaveGrace is how long a leaving endpoint may still get new work, and
	// leaveWatch how long it is observed after that.
	leaveGrace = 3 * time.Second
	leaveWatch = 2 * time.Second
	// undrainTime bounds the wait until endpoints get work again after their
	// return.
	undrainTime    = 5 * time.Second
	rollingHorizon = 85 * time.Second
)

// RollingFigures are the results of the experiment.
type RollingFigures struct {
	Anomalies
	// Interrupted counts connections and answers that broke.
	Interrupted int `json:"interrupted"`
	// StopMS is the time that each daemon took to stop.
	StopMS []int64 `json:"stop_ms"`
	// WorkAfterLeave counts the orders that leaving engines got more than 3 s after
	// they began to leave.
	WorkAfterLeave int64 `json:"work_after_3s"`
	// Undrained is the number of the Drained engines that got work again within
	// undrainTime.
	Drained   int `json:"drained"`
	Undrained int `json:"undrained"`
	// GoodDaemons and GoodEngines are the shares of completions that met both
	// targets while daemons were replaced, and while engines were drained.
	GoodDaemons float64        `json:"good_daemons"`
	GoodEngines float64        `json:"good_engines"`
	Ended       map[string]int `json:"ended"`
	series      Series
}

// runRolling replaces all daemons one after the other under load, and then drains
// engines.
func runRolling(ctx context.Context, env Env) (*Report, error) {
	d := faultDeployment()
	f, attempts, err := faultFleet(ctx, env, d, func(c *fleet.Config) {
		c.AdjustSettings = func(s *settings.Settings) {
			s.Timings.EntryLifetimeMS = rollingEntryLifeMS
			s.Timings.DrainMS = rollingDrainMS
		}
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	_, teams := d.Teams(faultTeams)
	x := newDriver(env, d, f, teams, rollingLoadShare, rollingHorizon)
	until, stop := context.WithCancel(ctx)
	defer stop()
	roll := &rolling{env: env, fleet: f, site: d.Site, observer: x.observer}
	var failed error
	var wg sync.WaitGroup
	wg.Go(func() {
		defer stop()
		failed = roll.run(ctx)
	})
	x.runUntil(ctx, until)
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	out := roll.figures
	out.Anomalies = x.anomalies(ctx, attempts)
	out.GoodDaemons = x.share(roll.daemons)
	out.GoodEngines = x.share(roll.engines)
	out.Ended = x.codes()
	x.spec.Duration = roll.engines.to
	out.series = x.series("rolling")
	return rollingReport(env, out), ctx.Err()
}

// rolling is the state of a run.
type rolling struct {
	env      Env
	fleet    *fleet.Fleet
	site     standin.PlatformConfig
	observer *observer
	figures  RollingFigures
	// daemons and engines are the windows in which daemons were replaced and
	// engines drained.
	daemons, engines window
}

func (r *rolling) run(ctx context.Context) error {
	began := time.Now()
	sleepFor(ctx, r.env.Warmup)
	before := r.observer.brokenCount()
	r.daemons.from = time.Since(began)
	if err := r.replaceDaemons(ctx); err != nil {
		return err
	}
	r.daemons.to = time.Since(began)
	r.engines.from = r.daemons.to
	if err := r.drainEngines(ctx); err != nil {
		return err
	}
	r.engines.to = time.Since(began)
	r.figures.Interrupted = r.observer.brokenCount() - before
	return nil
}

// replaceDaemons stops each daemon with a planned stop and starts a new one.
func (r *rolling) replaceDaemons(ctx context.Context) error {
	for i := range r.fleet.Members() {
		began := time.Now()
		if err := r.fleet.Stop(ctx, i); err != nil {
			return err
		}
		took := time.Since(began).Milliseconds()
		r.figures.StopMS = append(r.figures.StopMS, took)
		if err := r.fleet.Replace(i); err != nil {
			return err
		}
		if err := r.fleet.AwaitRevision(ctx, 1); err != nil {
			return err
		}
		r.env.logf("rolling daemon=%d stop_ms=%d interrupted=%d", i+1, took, r.observer.brokenCount())
	}
	return nil
}

// leaving returns the indexes of the engines to drain: byLabel are a prefill engine
// and two decode engines that get a label; selfReported is a decode engine that
// reports that it is leaving.
func (r *rolling) leaving() (byLabel []int, selfReported int) {
	s := &faultTarget{site: r.site}
	decode := s.engines(standin.RoleDecode)
	return []int{s.engines(standin.RolePrefill)[0], decode[0], decode[1]}, decode[2]
}

// drainEngines drains engines, counts the work that they get afterwards, and ends
// the drain.
func (r *rolling) drainEngines(ctx context.Context) error {
	byLabel, selfReported := r.leaving()
	if err := r.label(ctx, byLabel, "true"); err != nil {
		return err
	}
	if err := r.fleet.Inject(wire.Fault{Target: r.site.Engines[selfReported].Name, Leaving: value(true)}); err != nil {
		return err
	}
	sleepFor(ctx, leaveGrace)
	all := append(byLabel, selfReported)
	before := r.work(all)
	sleepFor(ctx, leaveWatch)
	r.figures.WorkAfterLeave = sum(r.work(all)) - sum(before)
	if err := r.label(ctx, byLabel, ""); err != nil {
		return err
	}
	if err := r.fleet.Inject(wire.Fault{Target: r.site.Engines[selfReported].Name, Leaving: value(false)}); err != nil {
		return err
	}
	r.figures.Drained = len(all)
	r.figures.Undrained = r.awaitWork(ctx, all)
	return nil
}

// label sets the label that drains engines, or removes it if to is empty, and waits
// until the change is in force.
func (r *rolling) label(ctx context.Context, engines []int, to string) error {
	for _, i := range engines {
		revision, err := r.fleet.Label(ctx, live.KindEndpoint, r.site.Engines[i].Name, live.Labels{live.LabelLeaving: to})
		if err != nil {
			return err
		}
		if err := r.fleet.AwaitRevision(ctx, revision); err != nil {
			return err
		}
	}
	return nil
}

// work returns the number of run orders that each engine has received so far.
func (r *rolling) work(engines []int) []int64 {
	var out []int64
	for _, i := range engines {
		c := r.fleet.Platform().Engines[i].Counters()
		out = append(out, c.Prefills+c.Decodes+c.AfterLeave)
	}
	return out
}

func sum(all []int64) int64 {
	var total int64
	for _, n := range all {
		total += n
	}
	return total
}

// awaitWork waits until all engines get work again, at most undrainTime, and returns
// the number that did.
func (r *rolling) awaitWork(ctx context.Context, engines []int) int {
	before := r.work(engines)
	deadline := time.Now().Add(undrainTime)
	for {
		working := 0
		for i, n := range r.work(engines) {
			if n > before[i] {
				working++
			}
		}
		if working == len(engines) || time.Now().After(deadline) || !sleepFor(ctx, orphanPause) {
			return working
		}
	}
}

// rollingReport returns the report of the figures.
func rollingReport(env Env, f RollingFigures) *Report {
	r := &Report{Experiment: "rolling", Seed: env.Seed, Data: f}
	var longest int64
	for _, ms := range f.StopMS {
		longest = max(longest, ms)
	}
	r.addLine("replaced=%d interrupted=%d lost=%d doubled=%d ran_twice=%d orphans=%d not_run_but_ran=%d wrong=%d violations=%d "+
		"longest_stop_ms=%d good=%.1f%%", len(f.StopMS), f.Interrupted, f.Lost, f.Doubled, f.RanTwice, f.Orphans,
		f.NotRunButRan, f.Wrong, f.Violations, longest, 100*f.GoodDaemons)
	r.addLine("drained=%d work_after_3s=%d undrained=%d good=%.1f%%", f.Drained, f.WorkAfterLeave, f.Undrained, 100*f.GoodEngines)
	if f.Interrupted > 0 {
		r.addFault("interrupted=%d", f.Interrupted)
	}
	if f.WorkAfterLeave > 0 || f.Undrained < f.Drained {
		r.addFault("drained=%d work_after_3s=%d undrained=%d", f.Drained, f.WorkAfterLeave, f.Undrained)
	}
	r.addAnomalies("rolling", f.Anomalies)
	r.Figures = []Figure{{Name: "rolling-goodput", Title: "Goodput while daemons are replaced and engines drained",
		XLabel: "time, seconds", YLabel: "goodput, completions a second", Series: []Series{f.series}}}
	return r
}
