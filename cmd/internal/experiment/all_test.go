package experiment

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestRunAllContinuesAfterAFailure(t *testing.T) {
	is := is.New(t)
	var seeds []uint64
	fine := func(_ context.Context, env Env) (*Report, error) {
		seeds = append(seeds, env.Seed)
		return &Report{Lines: []string{"n=1"}, Faults: []string{"one"}}, nil
	}
	experiments := []Experiment{
		{Name: "fails", Run: func(context.Context, Env) (*Report, error) { return nil, errors.New("broken") }},
		{Name: "panics", Run: func(context.Context, Env) (*Report, error) { panic("ouch") }},
		{Name: "empty", Run: func(context.Context, Env) (*Report, error) { return nil, nil }},
		{Name: "fine", Run: fine},
	}
	var reported []string
	outcomes := RunAll(context.Background(), Env{Seed: 7}, experiments, func(o Outcome) { reported = append(reported, o.Name) })
	is.Equal(reported, []string{"fails", "panics", "empty", "fine"})
	is.Equal(seeds, []uint64{7})
	is.Equal(outcomes[0].Error, "broken")
	is.Equal(outcomes[1].Error, "panic: ouch")
	is.Equal(outcomes[2].Error, "the experiment returned no report")
	is.Equal(outcomes[3].Lines, []string{"n=1"})
	for _, o := range outcomes {
		is.True(o.Failed()) // the last one has a fault in its report
	}
	is.True(!(&Outcome{}).Failed())
}

func TestRunAllReportsExperimentsSkippedByAnInterrupt(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	experiments := []Experiment{
		{Name: "first", Run: func(ctx context.Context, _ Env) (*Report, error) { cancel(); return nil, ctx.Err() }},
		{Name: "second", Run: func(context.Context, Env) (*Report, error) { return &Report{}, nil }},
	}
	outcomes := RunAll(ctx, Env{}, experiments, func(Outcome) {})
	is.Equal(outcomes[0].Error, context.Canceled.Error())
	is.Equal(outcomes[1].Error, notRunError)
}
