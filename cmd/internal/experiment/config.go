package experiment

import (
	"context"
	"time"
)

// Parameters of the experiment.
const (
	configDaemons = 9
	// Numbers of changes in four of the phases, and the number of races.
	configCalm      = 20
	configReplacing = 30
	configSlow      = 15
	configLossy     = 25
	configRaces     = 20
	// configPause is the delay after each change or race, and configSettle the
	// maximum wait until all daemons have the newest revision.
	configPause  = 150 * time.Millisecond
	configSettle = 15 * time.Second
	// configAim and configLimit are the desired and the maximum time until a
	// change is in force at all daemons.
	configAim   = time.Second
	configLimit = 4 * time.Second
)

// The phases of the experiment. scripts/experiment-config.sh waits for these names
// in the progress output.
const (
	phaseCalm      = "calm"
	phaseReplacing = "replacing"
	phaseSlow      = "table-slow"
	phaseLossy     = "table-losing-replies"
	phaseDown      = "table-down"
	phaseRaces     = "races"
)

// Faults injected into the table: the delay of its replies, and the share of its writes
// whose reply is lost.
const (
	configDelayMS = 300
	configLost    = 0.3
)

// PhaseFigures summarize the times between the acceptance of a change and its
// coming into force at a daemon, over all changes and daemons of one phase.
type PhaseFigures struct {
	Phase   string  `json:"phase"`
	Changes int     `json:"changes"`
	Samples int     `json:"samples"`
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
	MaxMS   float64 `json:"max_ms"`
	// OverLimit counts the samples above configLimit.
	OverLimit int `json:"over_limit"`
}

// ConfigFigures are the results of the config experiment.
type ConfigFigures struct {
	Mode    string         `json:"mode"`
	Daemons int            `json:"daemons"`
	Phases  []PhaseFigures `json:"phases"`
	// Ended counts the observed daemon processes that ended. Rejoined counts the
	// processes that started during the run and caught up. RejoinMaxMS is the
	// longest time from the first reply of a new process until the changes
	// accepted before this reply were in force there.
	Ended       int     `json:"ended"`
	Rejoined    int     `json:"rejoined"`
	RejoinMaxMS float64 `json:"rejoin_max_ms"`
	// RefusedWhileDown counts proposals that were refused because of the outage
	// of the table. CutWhileDown counts proposals without a reply, since the
	// daemon was killed first.
	RefusedWhileDown  int `json:"refused_while_down"`
	CutWhileDown      int `json:"cut_while_down"`
	AcceptedWhileDown int `json:"accepted_while_down"`
	Accepted          int `json:"accepted"`
	Resent            int `json:"resent"`
	Reverted          int `json:"reverted"`
	LostAccepted      int `json:"lost_accepted"`
	HalfApplied       int `json:"half_applied"`
	NeverInForce      int `json:"never_in_force"`
	Races             int `json:"races"`
	OneWinner         int `json:"one_winner"`
	LoserTold         int `json:"loser_told"`
}

// runConfig changes the live configuration of a fleet while its daemons are
// killed and replaced and the table is slow, loses replies and is down.
func runConfig(ctx context.Context, env Env) (*Report, error) {
	site, err := openConfigSite(ctx, env)
	if err != nil {
		return nil, err
	}
	defer site.close()
	c := newChangeDriver(env, site)
	defer c.watch.close()
	if err := c.run(ctx); err != nil {
		return nil, err
	}
	report := &Report{Experiment: "config", Seed: env.Seed}
	figures := c.figures(ctx)
	report.Data = figures
	report.addConfig(figures)
	return report, nil
}

// run runs the phases in order. Daemons are replaced from the second phase on.
func (c *changeDriver) run(ctx context.Context) error {
	disturb, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, p := range []struct {
		name string
		run  func(context.Context) error
	}{
		{phaseCalm, func(ctx context.Context) error { return c.changes(ctx, configCalm) }},
		{phaseReplacing, func(ctx context.Context) error {
			go c.site.churn(disturb)
			return c.changes(ctx, configReplacing)
		}},
		{phaseSlow, c.slow},
		{phaseLossy, c.lossy},
		{phaseDown, c.down},
		{phaseRaces, c.races},
	} {
		c.env.logf("config phase=%s", p.name)
		c.phase = p.name
		if err := p.run(ctx); err != nil {
			return err
		}
	}
	cancel()
	c.env.logf("config phase=end")
	return c.settle(ctx)
}

func (r *Report) addConfig(f ConfigFigures) {
	for _, p := range f.Phases {
		r.addLine("mode=%s daemons=%d phase=%s changes=%d samples=%d in_force_p50=%.0fms in_force_p99=%.0fms in_force_max=%.0fms aim=%s limit=%s over_limit=%d",
			f.Mode, f.Daemons, p.Phase, p.Changes, p.Samples, p.P50MS, p.P99MS, p.MaxMS, configAim, configLimit, p.OverLimit)
	}
	r.addLine("mode=%s accepted=%d resent=%d ended=%d rejoined=%d rejoin_max=%.0fms refused_while_down=%d cut_while_down=%d accepted_while_down=%d",
		f.Mode, f.Accepted, f.Resent, f.Ended, f.Rejoined, f.RejoinMaxMS, f.RefusedWhileDown, f.CutWhileDown, f.AcceptedWhileDown)
	r.addLine("mode=%s reverted=%d lost_accepted=%d half_applied=%d never_in_force=%d", f.Mode, f.Reverted, f.LostAccepted, f.HalfApplied, f.NeverInForce)
	r.addLine("mode=%s races=%d one_winner=%d loser_told=%d", f.Mode, f.Races, f.OneWinner, f.LoserTold)
	if n := f.Reverted + f.LostAccepted + f.HalfApplied + f.NeverInForce; n > 0 {
		r.addFault("config: reverted=%d lost_accepted=%d half_applied=%d never_in_force=%d", f.Reverted, f.LostAccepted, f.HalfApplied, f.NeverInForce)
	}
	if f.OneWinner < f.Races || f.LoserTold < f.Races {
		r.addFault("config: races=%d one_winner=%d loser_told=%d", f.Races, f.OneWinner, f.LoserTold)
	}
	for _, p := range f.Phases {
		if p.OverLimit > 0 {
			r.addFault("config phase=%s: over_limit=%d of %d", p.Phase, p.OverLimit, p.Samples)
		}
	}
	if f.AcceptedWhileDown > 0 {
		r.addFault("config: accepted_while_down=%d", f.AcceptedWhileDown)
	}
}
