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

// The course of the experiment.
const (
	rollingLoadShare = 0.6
	// rollingEntryLife is the lifetime of the entry answer, so that a planned
	// stop need not wait long for those who keep it.
	rollingEntryLifeMS = 1000
	rollingDrainMS     = 8000
	// leaveTime is how long a leaving endpoint may still get new work, and
	// leaveWatch how long it is watched behind that.
	leaveTime  = 3 * time.Second
	leaveWatch = 2 * time.Second
	// undrainTime bounds the wait for work on an endpoint that came back.
	undrainTime    = 5 * time.Second
	rollingHorizon = 85 * time.Second
)

// RollingFigures are the figures of the experiment.
type RollingFigures struct {
	Wrongs
	// Interrupted counts connections and answers that broke.
	Interrupted int `json:"interrupted"`
	// StopMS is how long each daemon took to stop.
	StopMS []int64 `json:"stop_ms"`
	// WorkAfterLeave is the work that leaving engines were given later than 3 s.
	WorkAfterLeave int64 `json:"work_after_3s"`
	// Undrained is how many of the Drained engines had work again in time.
	Drained   int `json:"drained"`
	Undrained int `json:"undrained"`
	// GoodDaemons and GoodEngines are the shares of completions that met both
	// targets while daemons were replaced, and while engines were drained.
	GoodDaemons float64        `json:"good_daemons"`
	GoodEngines float64        `json:"good_engines"`
	Ended       map[string]int `json:"ended"`
	series      Series
}

// runRolling replaces all daemons one by one under load, then drains engines.
func runRolling(ctx context.Context, env Env) (*Report, error) {
	d := faultDeployment()
	f, attempts, err := faultFleet(ctx, env, d, func(c *fleet.Config) {
		c.Tune = func(s *settings.Settings) {
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
	roll := &rolling{env: env, fleet: f, site: d.Site, tap: x.tap}
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
	out.Wrongs = x.wrongs(ctx, attempts)
	out.GoodDaemons = x.share(roll.daemons)
	out.GoodEngines = x.share(roll.engines)
	out.Ended = x.codes()
	x.spec.Duration = roll.engines.to
	out.series = x.series("rolling")
	return rollingReport(env, out), ctx.Err()
}

// rolling is a run under way.
type rolling struct {
	env     Env
	fleet   *fleet.Fleet
	site    standin.PlatformConfig
	tap     *tap
	figures RollingFigures
	// daemons and engines are when they were replaced and drained.
	daemons, engines window
}

func (r *rolling) run(ctx context.Context) error {
	began := time.Now()
	sleepFor(ctx, r.env.Warmup)
	before := r.tap.brokenSoFar()
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
	r.figures.Interrupted = r.tap.brokenSoFar() - before
	return nil
}

// replaceDaemons stops each daemon as planned and starts a new one.
func (r *rolling) replaceDaemons(ctx context.Context) error {
	for i := range r.fleet.Places() {
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
		r.env.logf("rolling daemon=%d stop_ms=%d interrupted=%d", i+1, took, r.tap.brokenSoFar())
	}
	return nil
}

// leaving lists the places of the engines that are drained by a label: one
// that prefills and two that decode; and the one that says itself that it leaves.
func (r *rolling) leaving() (byLabel []int, itself int) {
	s := &scene{site: r.site}
	decode := s.engines(standin.RoleDecode)
	return []int{s.engines(standin.RolePrefill)[0], decode[0], decode[1]}, decode[2]
}

// drainEngines drains engines, watches that they get no new work, and lets
// them back.
func (r *rolling) drainEngines(ctx context.Context) error {
	byLabel, itself := r.leaving()
	if err := r.label(ctx, byLabel, "true"); err != nil {
		return err
	}
	if err := r.fleet.Inject(wire.Fault{Target: r.site.Engines[itself].Name, Leaving: value(true)}); err != nil {
		return err
	}
	sleepFor(ctx, leaveTime)
	all := append(byLabel, itself)
	before := r.work(all)
	sleepFor(ctx, leaveWatch)
	r.figures.WorkAfterLeave = sum(r.work(all)) - sum(before)
	if err := r.label(ctx, byLabel, ""); err != nil {
		return err
	}
	if err := r.fleet.Inject(wire.Fault{Target: r.site.Engines[itself].Name, Leaving: value(false)}); err != nil {
		return err
	}
	r.figures.Drained = len(all)
	r.figures.Undrained = r.awaitWork(ctx, all)
	return nil
}

// label sets the label that drains engines.
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

// work counts the run orders that engines have had so far.
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

// awaitWork counts the engines that get work again.
func (r *rolling) awaitWork(ctx context.Context, engines []int) int {
	before := r.work(engines)
	deadline := time.Now().Add(undrainTime)
	for {
		back := 0
		for i, n := range r.work(engines) {
			if n > before[i] {
				back++
			}
		}
		if back == len(engines) || time.Now().After(deadline) || !sleepFor(ctx, orphanPause) {
			return back
		}
	}
}

// rollingReport sums up.
func rollingReport(env Env, f RollingFigures) *Report {
	r := &Report{Experiment: "rolling", Seed: env.Seed, Data: f}
	var longest int64
	for _, ms := range f.StopMS {
		longest = max(longest, ms)
	}
	r.add("replaced=%d interrupted=%d lost=%d doubled=%d ran_twice=%d orphans=%d not_run_but_ran=%d wrong=%d violations=%d "+
		"longest_stop_ms=%d good=%.1f%%", len(f.StopMS), f.Interrupted, f.Lost, f.Doubled, f.RanTwice, f.Orphans,
		f.NotRunButRan, f.Wrong, f.Violations, longest, 100*f.GoodDaemons)
	r.add("drained=%d work_after_3s=%d undrained=%d good=%.1f%%", f.Drained, f.WorkAfterLeave, f.Undrained, 100*f.GoodEngines)
	if f.Interrupted > 0 {
		r.fault("interrupted=%d", f.Interrupted)
	}
	if f.WorkAfterLeave > 0 || f.Undrained < f.Drained {
		r.fault("drained=%d work_after_3s=%d undrained=%d", f.Drained, f.WorkAfterLeave, f.Undrained)
	}
	r.wrong("rolling", f.Wrongs)
	r.Figures = []Figure{{Name: "rolling-goodput", Title: "Goodput while daemons are replaced and engines drained",
		XLabel: "time, seconds", YLabel: "goodput, completions a second", Series: []Series{f.series}}}
	return r
}
