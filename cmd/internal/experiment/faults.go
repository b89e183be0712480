package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
)

// minFaultDaemons is the minimum number of daemons in a fleet with injected faults.
const minFaultDaemons = 9

// FaultFigures are the results of one injected fault.
type FaultFigures struct {
	Fault string `json:"fault"`
	Anomalies
	// GoodputBefore and GoodputDuring are in completions per second.
	GoodputBefore float64 `json:"goodput_before_per_second"`
	GoodputDuring float64 `json:"goodput_during_per_second"`
	// RecoveryMS is the time from the start of the fault, or from its end if it is
	// lasting, until the goodput was back at 95%; -1 if it did not recover.
	RecoveryMS int64 `json:"back_to_95_ms"`
	// Ended counts the requests by outcome and error code.
	Ended map[string]int `json:"ended"`
	// Errors are the first log lines of the daemons at level error.
	Errors []string `json:"errors"`
	series Series
}

// phases are the windows of a run before, during and after a fault.
type phases struct{ before, during, after window }

func (e Env) phases() phases {
	begin := e.Warmup + e.Duration/2
	end := begin + e.Duration/2
	return phases{
		before: window{e.Warmup, begin},
		during: window{begin, end},
		after:  window{end, end + e.Duration},
	}
}

// runFaults injects each fault into a loaded fleet of its own.
func runFaults(ctx context.Context, env Env) (*Report, error) {
	figures, err := each(ctx, env, faultCases(), func(ctx context.Context, c faultCase) (FaultFigures, error) {
		env.logf("faults fault=%s", c.name)
		out, err := faultOnce(ctx, env, c)
		if err != nil {
			err = fmt.Errorf("fault %s: %w", c.name, err)
		}
		return out, err
	})
	if err != nil {
		return nil, err
	}
	report := &Report{Experiment: "faults", Seed: env.Seed, Data: figures}
	for _, f := range figures {
		report.addFaultRun(f)
	}
	report.Figures = faultPlots(figures)
	return report, nil
}

// faultFleet starts a fleet for fault injection, with the teams of the load. The
// log of its daemons goes to the returned attemptLog.
func faultFleet(ctx context.Context, env Env, d Deployment, tune func(*fleet.Config)) (*fleet.Fleet, *attemptLog, error) {
	fleetTeams, _ := d.Teams(faultTeams)
	attempts := newAttemptLog()
	config := fleet.Config{
		Sites: sitesOf(d), Daemons: max(env.Daemons, minFaultDaemons), Teams: fleetTeams, Log: attempts,
	}
	if tune != nil {
		tune(&config)
	}
	f, err := fleet.Start(ctx, config)
	return f, attempts, err
}

// faultDeployment returns the deployment for the experiments with faults.
func faultDeployment() Deployment {
	d := Bunker()
	d.Profile = faultProfile(d.Profile)
	return d
}

// faultOnce injects one fault into one fleet.
func faultOnce(ctx context.Context, env Env, c faultCase) (FaultFigures, error) {
	d := faultDeployment()
	f, attempts, err := faultFleet(ctx, env, d, nil)
	if err != nil {
		return FaultFigures{}, err
	}
	defer f.Close()
	at := env.phases()
	_, teams := d.Teams(faultTeams)
	x := newDriver(env, d, f, teams, faultLoadShare, at.after.to)
	s := &faultTarget{fleet: f, site: d.Site, rng: rand.New(rand.NewPCG(env.Seed, 1)), hangUps: &hangUps{}}
	x.hangUp = s.hangUps.selected
	injected := make(chan error, 1)
	go func() { injected <- injectDuring(ctx, s, c.injection, at.during) }()
	x.run(ctx)
	if err := <-injected; err != nil {
		return FaultFigures{}, err
	}
	if err := ctx.Err(); err != nil {
		return FaultFigures{}, err
	}
	return x.figures(ctx, c, at, attempts), nil
}

// injectDuring starts a fault at the beginning of a window and ends it at the end
// of the window.
func injectDuring(ctx context.Context, s *faultTarget, fault injection, w window) error {
	started := time.Now()
	if !sleepFor(ctx, w.from) {
		return ctx.Err()
	}
	if err := fault.begin(ctx, s); err != nil {
		return err
	}
	if !sleepFor(ctx, w.to-time.Since(started)) {
		return ctx.Err()
	}
	return fault.end(ctx, s)
}

// figures summarizes a run.
func (x *driver) figures(ctx context.Context, c faultCase, at phases, attempts *attemptLog) FaultFigures {
	from := at.during.from
	if c.lasting {
		from = at.during.to
	}
	return FaultFigures{
		Fault:         c.name,
		Anomalies:     x.anomalies(ctx, attempts),
		GoodputBefore: x.perSecond(at.before),
		GoodputDuring: x.perSecond(at.during),
		RecoveryMS:    x.recoveryTime(from, at.after.to, recoveredShare*x.share(at.before)),
		Ended:         x.codes(),
		Errors:        attempts.errorLines,
		series:        x.series(c.name),
	}
}

// addFaultRun adds the line and the faults of a run with an injected fault.
func (r *Report) addFaultRun(f FaultFigures) {
	r.addLine("fault=%s lost=%d doubled=%d ran_twice=%d orphans=%d not_run_but_ran=%d wrong=%d violations=%d "+
		"goodput_before=%.1f/s goodput_during=%.1f/s back_to_95_ms=%d",
		f.Fault, f.Lost, f.Doubled, f.RanTwice, f.Orphans, f.NotRunButRan, f.Wrong, f.Violations,
		f.GoodputBefore, f.GoodputDuring, f.RecoveryMS)
	r.addAnomalies(f.Fault, f.Anomalies)
}

// addAnomalies adds a fault if a run had any anomalies.
func (r *Report) addAnomalies(run string, w Anomalies) {
	if w.any() {
		r.addFault("%s: lost=%d doubled=%d ran_twice=%d orphans=%d not_run_but_ran=%d wrong=%d violations=%d",
			run, w.Lost, w.Doubled, w.RanTwice, w.Orphans, w.NotRunButRan, w.Wrong, w.Violations)
	}
}

// seriesPerPlot limits the number of series in a plot, so that it is readable.
const seriesPerPlot = 6

// faultPlots returns plots of the goodput over time, with up to seriesPerPlot
// faults each.
func faultPlots(figures []FaultFigures) []Figure {
	var out []Figure
	for from := 0; from < len(figures); from += seriesPerPlot {
		fig := Figure{
			Name: fmt.Sprintf("faults-goodput-%d", len(out)+1), Title: "Goodput around a fault",
			XLabel: "time, seconds", YLabel: "goodput, completions a second",
		}
		for _, f := range figures[from:min(from+seriesPerPlot, len(figures))] {
			fig.Series = append(fig.Series, f.series)
		}
		out = append(out, fig)
	}
	return out
}
