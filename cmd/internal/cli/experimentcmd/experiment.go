// Package experimentcmd holds the command that runs experiments.
package experimentcmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
)

// listEntry is one experiment in the JSON list.
type listEntry struct {
	Name  string `json:"name"`
	Short string `json:"short"`
}

// Command returns the command that runs an experiment or lists them.
func Command(opts *common.Options) *cobra.Command {
	env := experiment.Env{}
	var out string
	cmd := &cobra.Command{
		Use:   "experiment [NAME]",
		Short: "Run a named experiment; without a name, list them",
		Long: `Run a named experiment in this process, on its own sockets on the loopback
interface, and print its figures as key=value lines. With --out, also write the
figures as JSON and plots as SVG to a folder. The exit code is 5 if an answer
was lost, doubled or wrong.`,
		Example: `  samphirequay experiment
  samphirequay experiment routing --seed 1 --out out`,
		ValidArgs: experiment.Names(),
		Args:      common.Args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return list(cmd, opts)
			}
			e, err := experiment.Find(args[0])
			if err != nil {
				return exit.Wrap(exit.Usage, err)
			}
			env.Log = cmd.ErrOrStderr()
			return run(cmd, opts, e, env, out)
		},
	}
	fs := cmd.Flags()
	fs.Uint64Var(&env.Seed, "seed", 1, "seed of arrivals, prompts and faults")
	fs.DurationVar(&env.Duration, "duration", experiment.DefaultDuration, "time that each run measures")
	fs.DurationVar(&env.Warmup, "warmup", experiment.DefaultWarmup, "time at the start of each run that is not measured")
	fs.IntVar(&env.Parallel, "parallel", experiment.DefaultParallel, "maximum concurrent runs")
	fs.IntVar(&env.Daemons, "daemons", experiment.DefaultDaemons, "daemons in each fleet")
	fs.StringVar(&out, "out", "", "folder for JSON and SVG files")
	cmd.AddCommand(allCommand(opts))
	return cmd
}

func list(cmd *cobra.Command, opts *common.Options) error {
	var all []listEntry
	rows := output.Rows{Header: []string{"NAME", "MEASURES"}}
	for _, e := range experiment.All() {
		all = append(all, listEntry{e.Name, e.Short})
		rows.Add(e.Name, e.Short)
	}
	return output.Print(cmd.OutOrStdout(), opts.Output, all, rows)
}

func run(cmd *cobra.Command, opts *common.Options, e experiment.Experiment, env experiment.Env, out string) error {
	start := time.Now()
	report, err := e.Run(cmd.Context(), env)
	if err != nil {
		return err
	}
	if out != "" {
		if err := report.Write(out); err != nil {
			return err
		}
	}
	rows := output.Rows{}
	for _, line := range report.Lines {
		rows.Add(line)
	}
	rows.Add("experiment=" + e.Name + " took=" + time.Since(start).Round(time.Millisecond).String())
	if err := output.Print(cmd.OutOrStdout(), opts.Output, report, rows); err != nil {
		return err
	}
	if len(report.Faults) > 0 {
		return exit.Errorf(exit.Faults, "%d runs had faults; the first: %s", len(report.Faults), report.Faults[0])
	}
	return nil
}
