// Package localcmd holds the command that runs a small fleet in one process
// for newcomers.
package localcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/standin"
)

// bothDeployments is the value of --deployment for all deployments.
const bothDeployments = "both"

// The load of a local run. The rate is low and the prompts are bounded, so that
// every request can be answered within its targets.
const (
	ratePerDeployment = 20
	maxPromptTokens   = 3500
	maxAttempts       = 30
)

// flags are the flags of the command.
type flags struct {
	requests   int
	deployment string
	seed       uint64
	daemons    int
}

// Command returns the command that runs a small fleet.
func Command(opts *common.Options) *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "local",
		Short: "Run a small fleet in this process and send it requests",
		Long: `Start daemons and stand-ins of the platform in this process, on free ports of
the loopback interface. With --requests, send that many requests, check every
answer and print one line of results; the exit code is 0 if all requests were
answered, else 5. Without --requests, print a curl command that sends a request,
and run until interrupted.`,
		Example: `  samphirequay local --requests 200
  samphirequay local --deployment bunker`,
		Args: common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			deployments, err := deploymentsByName(f.deployment)
			if err != nil {
				return err
			}
			if f.requests < 0 || f.daemons < 1 {
				return exit.Errorf(exit.Usage, "--requests must not be negative and --daemons must be above 0")
			}
			return run(cmd, opts, f, deployments)
		},
	}
	fs := cmd.Flags()
	fs.IntVar(&f.requests, "requests", 0, "send this number of requests and exit; 0 runs until interrupted")
	fs.StringVar(&f.deployment, "deployment", bothDeployments, "bunker, companeros or both")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of arrivals and prompts")
	fs.IntVar(&f.daemons, "daemons", 1, "number of daemons to start")
	return cmd
}

// deploymentsByName returns the deployments for a value of --deployment.
func deploymentsByName(name string) ([]experiment.Deployment, error) {
	switch name {
	case load.ProfileBunker:
		return []experiment.Deployment{experiment.Bunker()}, nil
	case load.ProfileCompaneros:
		return []experiment.Deployment{experiment.Companeros()}, nil
	case bothDeployments:
		return experiment.Deployments(), nil
	default:
		return nil, exit.Errorf(exit.Usage, "unknown deployment %q: must be bunker, companeros or both", name)
	}
}

func run(cmd *cobra.Command, opts *common.Options, f flags, deployments []experiment.Deployment) error {
	config := fleet.Config{Daemons: f.daemons, Sites: sitesOf(deployments)}
	var teams []load.Team
	for _, d := range deployments {
		fleetTeams, loadTeams := d.Teams(1)
		config.Teams = append(config.Teams, fleetTeams...)
		teams = append(teams, loadTeams...)
	}
	fl, err := fleet.Start(cmd.Context(), config)
	if err != nil {
		return err
	}
	defer fl.Close()
	if f.requests == 0 {
		return runUntilInterrupted(cmd, fl, teams)
	}
	res, err := sendRequests(cmd, fl, teams, f)
	if err != nil {
		return err
	}
	return report(cmd, opts, res, fl.EngineTotals())
}

func sitesOf(deployments []experiment.Deployment) []standin.PlatformConfig {
	var sites []standin.PlatformConfig
	for _, d := range deployments {
		sites = append(sites, d.Site)
	}
	return sites
}

// runUntilInterrupted prints commands for requests and waits for an interrupt.
func runUntilInterrupted(cmd *cobra.Command, fl *fleet.Fleet, teams []load.Team) error {
	out := cmd.OutOrStdout()
	address := fl.CallerAddresses()[0]
	for _, t := range teams {
		fmt.Fprintln(out, curlLine(address, t))
	}
	fmt.Fprintf(out, "SAMPHIREQUAY_OPERATOR_KEY=%s samphirequay status --operators %s\n", fl.OperatorKey(), fl.OperatorAddresses()[0])
	select {
	case <-cmd.Context().Done():
	case <-fl.Daemon(0).Done():
		// An operator stopped the daemon that the printed commands use.
	}
	return nil
}

// curlLine returns a shell command that requests a streamed completion.
func curlLine(address string, t load.Team) string {
	return fmt.Sprintf(`curl -sN http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' `+
		`-d '{"model":"%s","prompt":"Nomination: MT Karagiye at Aktau berth 4, 400 mt VLSFO.","max_tokens":8,"stream":true}'`,
		address, t.Key, t.Profile.Model)
}

// sendRequests sends the requests and shows a progress bar on a terminal.
func sendRequests(cmd *cobra.Command, fl *fleet.Fleet, teams []load.Team, f flags) (*load.Result, error) {
	for i := range teams {
		teams[i].Profile.MaxPromptTokens = maxPromptTokens
	}
	bar := newBar(cmd.ErrOrStderr(), f.requests)
	defer bar.close()
	return load.Run(cmd.Context(), load.Spec{
		Entry: fl.CallerAddresses(), Teams: teams, Seed: f.seed,
		Rate: float64(ratePerDeployment * len(teams)), Requests: f.requests, MaxAttempts: maxAttempts,
		Expect: experiment.Expected, PlainRuns: fl.PlainRuns, OnDone: bar.add,
	})
}

// result is the JSON result.
type result struct {
	Result *load.Result       `json:"result"`
	Work   fleet.EngineTotals `json:"work"`
}

// report prints the results and returns an error if answers are missing or have
// faults.
func report(cmd *cobra.Command, opts *common.Options, res *load.Result, work fleet.EngineTotals) error {
	t := res.Total
	rows := output.Rows{}
	rows.Add(fmt.Sprintf("requests=%d answered=%d lost=%d doubled=%d wasted_prefill=%.1f%% ttft_p95=%.0fms pace_p95=%.0fms",
		t.Requests, t.Answered, t.Lost, t.Doubled, 100*work.WastedShare(), t.TTFT.P95MS, t.Pace.P95MS))
	if err := output.Print(cmd.OutOrStdout(), opts.Output, result{res, work}, rows); err != nil {
		return err
	}
	if err := context.Cause(cmd.Context()); err != nil {
		return exit.Errorf(exit.Failed, "interrupted")
	}
	if res.Unanswered() > 0 || res.Faults() > 0 {
		return exit.Errorf(exit.Faults, "%d requests were not answered, %d answers were lost, doubled or wrong: %s",
			res.Unanswered(), res.Faults(), res.Line())
	}
	return nil
}

// bar is a progress bar; without a terminal it shows nothing.
type bar struct{ progress *progressbar.ProgressBar }

// newBar returns a progress bar, which is shown only if w is a terminal.
func newBar(w io.Writer, total int) bar {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return bar{}
	}
	return bar{progressbar.NewOptions(total,
		progressbar.OptionSetWriter(file),
		progressbar.OptionSetDescription("requests"),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(barRedrawInterval),
		progressbar.OptionClearOnFinish(),
	)}
}

// barRedrawInterval is the minimum time between two redraws of the bar.
const barRedrawInterval = 65 * time.Millisecond

// add counts one request.
func (b bar) add() {
	if b.progress != nil {
		// An error of the progress bar must not end the run.
		_ = b.progress.Add(1)
	}
}

// close ends the bar.
func (b bar) close() {
	if b.progress != nil {
		_ = b.progress.Finish()
	}
}
