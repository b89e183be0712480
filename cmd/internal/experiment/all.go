package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is what became of one experiment in a run of many.
type Outcome struct {
	Name string `json:"name"`
	// Short says in one line what it measures.
	Short string `json:"short"`
	// Report is nil if the experiment failed or was not run.
	Report *Report `json:"-"`
	// Error says why there is no report; empty if there is one.
	Error string `json:"error,omitempty"`
	// Seconds that it took.
	Seconds float64 `json:"seconds"`
	// Lines and Faults are the report's.
	Lines  []string `json:"lines"`
	Faults []string `json:"faults"`
}

// Failed tells whether the experiment gave no report, or one with faults.
func (o *Outcome) Failed() bool { return o.Error != "" || len(o.Faults) > 0 }

// notRun is the error of the experiments that an interrupt left out.
const notRun = "not run: interrupted"

// RunAll runs experiments one after the other, and goes on after one fails.
// Each outcome is handed to done as soon as it is there.
func RunAll(ctx context.Context, env Env, experiments []Experiment, done func(Outcome)) []Outcome {
	outcomes := make([]Outcome, 0, len(experiments))
	for _, e := range experiments {
		outcome := runOne(ctx, env, e)
		outcomes = append(outcomes, outcome)
		done(outcome)
	}
	return outcomes
}

// runOne runs one experiment.
func runOne(ctx context.Context, env Env, e Experiment) Outcome {
	outcome := Outcome{Name: e.Name, Short: e.Short}
	if ctx.Err() != nil {
		outcome.Error = notRun
		return outcome
	}
	begun := time.Now()
	report, err := guarded(ctx, env, e)
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

// guarded runs an experiment and turns a panic of its own goroutine into an
// error, so that the others still run.
func guarded(ctx context.Context, env Env, e Experiment) (report *Report, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("panic: %v", cause)
		}
	}()
	report, err = e.Run(ctx, env)
	if err == nil && report == nil {
		return nil, eris.New("the experiment gave no report")
	}
	return report, err
}
