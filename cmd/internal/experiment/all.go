package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is the result of one experiment when several run in sequence.
type Outcome struct {
	Name string `json:"name"`
	// Short is a one-line summary of what the experiment measures.
	Short string `json:"short"`
	// Report is nil if the experiment failed or was not run.
	Report *Report `json:"-"`
	// Error is the reason why there is no report; empty if there is one.
	Error string `json:"error,omitempty"`
	// Seconds is the wall time of the experiment.
	Seconds float64 `json:"seconds"`
	// Lines and Faults are copied from the report.
	Lines  []string `json:"lines"`
	Faults []string `json:"faults"`
}

// Failed reports whether the experiment returned no report, or one with faults.
func (o *Outcome) Failed() bool { return o.Error != "" || len(o.Faults) > 0 }

// notRunError is the error of the experiments that did not run because of an interrupt.
const notRunError = "not run: interrupted"

// RunAll runs experiments one after the other and continues after a failure.
// It passes each outcome to done as soon as the experiment has ended.
func RunAll(ctx context.Context, env Env, experiments []Experiment, done func(Outcome)) []Outcome {
	outcomes := make([]Outcome, 0, len(experiments))
	for _, e := range experiments {
		outcome := runOne(ctx, env, e)
		outcomes = append(outcomes, outcome)
		done(outcome)
	}
	return outcomes
}

// runOne runs one experiment, or marks it as not run if ctx has ended.
func runOne(ctx context.Context, env Env, e Experiment) Outcome {
	outcome := Outcome{Name: e.Name, Short: e.Short}
	if ctx.Err() != nil {
		outcome.Error = notRunError
		return outcome
	}
	begun := time.Now()
	report, err := runRecovered(ctx, env, e)
	outcome.Seconds = time.Since(begun).Seconds()
	if err != nil {
		outcome.Error = err.Error()
		return outcome
	}
	outcome.Report = report
	outcome.Lines = report.Lines
	outcome.Faults = report.Faults
	return outcome
}

// runRecovered runs an experiment and turns a panic in the calling goroutine
// into an error, so that the other experiments still run.
func runRecovered(ctx context.Context, env Env, e Experiment) (report *Report, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("panic: %v", cause)
		}
	}()
	report, err = e.Run(ctx, env)
	if err == nil && report == nil {
		return nil, eris.New("the experiment returned no report")
	}
	return report, err
}
