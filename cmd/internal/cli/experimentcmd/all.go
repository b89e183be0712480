package experimentcmd

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
	"github.com/samphirequay/samphirequay/cmd/internal/report"
	"github.com/samphirequay/samphirequay/cmd/internal/version"
)

// allCommand returns the command that runs every experiment.
func allCommand(opts *common.Options) *cobra.Command {
	var out, previous string
	var seed uint64
	cmd := &cobra.Command{
		Use:   "all",
		Short: "Run every experiment and write one page",
		Long: `Run every experiment with its default size, one after the other, and write
their figures and one page, index.html, to the folder of --out. The other
experiments run even if one fails. Each figure is shown with the figure of an
earlier run: the run in the folder of --previous, or else the newest run in the
folders next to that of --out. The exit code is 5 if an experiment failed or
found faults.`,
		Example: "  samphirequay experiment all --seed 1 --out out/today",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if out == "" {
				return exit.Errorf(exit.Usage, "--out DIR is missing")
			}
			return runAll(cmd, opts, seed, out, previous)
		},
	}
	fs := cmd.Flags()
	fs.Uint64Var(&seed, "seed", 1, "seed of arrivals, prompts and faults")
	fs.StringVar(&out, "out", "", "folder for the page, JSON and SVG files")
	fs.StringVar(&previous, "previous", "", "folder of an earlier run; default: the newest run next to --out")
	return cmd
}

func runAll(cmd *cobra.Command, opts *common.Options, seed uint64, out, previous string) error {
	if previous == "" {
		latest, err := report.Latest(out)
		if err != nil {
			return err
		}
		previous = latest
	}
	env := experiment.Env{
		Seed: seed, Duration: experiment.DefaultDuration, Warmup: experiment.DefaultWarmup,
		Parallel: experiment.DefaultParallel, Daemons: experiment.DefaultDaemons, Log: cmd.ErrOrStderr(),
	}
	run := &report.Run{Build: version.Read(), Seed: seed, Begun: time.Now()}
	// The page is written after each experiment, so that an interrupted run
	// leaves the results so far.
	var writeErr error
	experiment.RunAll(cmd.Context(), env, experiment.All(), func(o experiment.Outcome) {
		printOutcome(cmd, opts, o)
		run.Outcomes = append(run.Outcomes, o)
		writeErr = errors.Join(writeErr, report.Write(out, previous, run))
	})
	if writeErr != nil {
		return writeErr
	}
	if opts.Output == output.JSON {
		if err := output.PrintJSON(cmd.OutOrStdout(), run); err != nil {
			return err
		}
	}
	if n := run.Failed(); n > 0 {
		return exit.Errorf(exit.Faults, "%d of %d experiments failed or found faults: see %s in %s", n, len(run.Outcomes), report.IndexFile, out)
	}
	return nil
}

// printOutcome prints the lines of one experiment and a line with its duration
// and faults. In JSON format it prints nothing: the whole run is printed after
// the last experiment.
func printOutcome(cmd *cobra.Command, opts *common.Options, o experiment.Outcome) {
	if opts.Output == output.JSON {
		return
	}
	out := cmd.OutOrStdout()
	for _, line := range o.Lines {
		fmt.Fprintf(out, "experiment=%s %s\n", o.Name, line)
	}
	fmt.Fprintf(out, "experiment=%s took=%.1fs faults=%d error=%q\n", o.Name, o.Seconds, len(o.Faults), o.Error)
}
