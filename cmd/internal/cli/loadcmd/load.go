// Package loadcmd holds the command that sends load to a running fleet.
package loadcmd

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
)

// EnvTeamKey is the environment variable that holds the team's key.
const EnvTeamKey = "SAMPHIREQUAY_TEAM_KEY"

// flags are the flags of the command.
type flags struct {
	entry      []string
	profile    string
	team       string
	key        string
	behaviour  string
	rate       float64
	duration   time.Duration
	requests   int
	warmup     time.Duration
	seed       uint64
	firstToken time.Duration
	pace       time.Duration
	plainShare float64
	noCheck    bool
}

// Command returns the command that sends load.
func Command(opts *common.Options) *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send load to a running fleet and measure the answers",
		Long: `Send requests at a given arrival rate, whether or not earlier requests were
answered, follow the entry answer as a caller does, and check every answer:
whole, lost, doubled or wrong. The answers are compared with those of the
stand-in engines; use --no-check with other engines. The exit code is 5 if an
answer was lost, doubled or wrong.`,
		Example: "  samphirequay load --entry 127.0.0.1:7101 --profile bunker --rate 50 --duration 10s --seed 1",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			spec, err := f.spec()
			if err != nil {
				return exit.Wrap(exit.Usage, err)
			}
			res, err := load.Run(cmd.Context(), spec)
			if err != nil {
				return err
			}
			return report(cmd, opts, res)
		},
	}
	f.add(cmd)
	return cmd
}

func (f *flags) add(cmd *cobra.Command) {
	fs := cmd.Flags()
	fs.StringSliceVar(&f.entry, "entry", nil, "callers' addresses of daemons, host:port[,host:port]")
	fs.StringVar(&f.profile, "profile", load.ProfileBunker, "profile of the requests: bunker or companeros")
	fs.StringVar(&f.team, "team", "load", "name of the team in the results")
	fs.StringVar(&f.key, "team-key", "", "the team's bearer key (better: $"+EnvTeamKey+")")
	fs.StringVar(&f.behaviour, "behaviour", string(load.BehaviourNormal), "normal, flood, cancel or retry")
	fs.Float64Var(&f.rate, "rate", 20, "arrivals per second")
	fs.DurationVar(&f.duration, "duration", 10*time.Second, "time during which requests arrive")
	fs.IntVar(&f.requests, "requests", 0, "stop after this number of arrivals, whatever the duration")
	fs.DurationVar(&f.warmup, "warmup", 0, "leave requests that arrive in this time out of the results")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of arrivals, prompts and idempotency keys; a fleet that served the same seed before replays its keyed calls")
	fs.DurationVar(&f.firstToken, "first-token-target", load.DefaultFirstTokenTarget, "target for the first token")
	fs.DurationVar(&f.pace, "pace-target", load.DefaultPaceTarget, "target for the mean time between tokens")
	fs.Float64Var(&f.plainShare, "plain-share", -1, "share of calls to the plain service, 0 to 1; default: the profile's")
	fs.BoolVar(&f.noCheck, "no-check", false, "don't compare the answers with those of the stand-ins")
}

// spec returns the load that the flags describe.
func (f *flags) spec() (load.Spec, error) {
	profile, err := load.ProfileByName(f.profile)
	if err != nil {
		return load.Spec{}, err
	}
	if f.plainShare >= 0 {
		profile.PlainShare = f.plainShare
	}
	key := f.key
	if key == "" {
		key = os.Getenv(EnvTeamKey)
	}
	spec := load.Spec{
		Entry: f.entry, Rate: f.rate, Duration: f.duration, Requests: f.requests, Warmup: f.warmup, Seed: f.seed,
		FirstTokenTarget: f.firstToken, PaceTarget: f.pace,
		Teams: []load.Team{{Name: f.team, Key: key, Behaviour: load.Behaviour(f.behaviour), Profile: profile}},
	}
	if !f.noCheck {
		spec.Expect = experiment.Expected
	}
	if len(f.entry) == 0 {
		return spec, fmt.Errorf("no daemon given: use --entry ADDRESS[,ADDRESS]")
	}
	return spec, spec.Validate()
}

// report prints the results and returns an error if answers have faults.
func report(cmd *cobra.Command, opts *common.Options, res *load.Result) error {
	rows := output.Rows{}
	rows.Add(strings.TrimSpace(res.Line()))
	if err := output.Print(cmd.OutOrStdout(), opts.Output, res, rows); err != nil {
		return err
	}
	if n := res.Faults(); n > 0 {
		return exit.Errorf(exit.Faults, "%d answers were lost, doubled or wrong", n)
	}
	return nil
}
