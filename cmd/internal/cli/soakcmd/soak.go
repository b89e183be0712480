// Package soakcmd holds the command that runs soak tests of daemons with
// injected faults.
package soakcmd

import (
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/soak"
)

// Defaults of a run. They are small enough that several runs together take only a
// few dozen processes.
const (
	defaultDaemons = 5
	defaultCallers = 16
	defaultLength  = 15 * time.Second
)

// Command returns the command that runs a soak test.
func Command(*common.Options) *cobra.Command {
	var cfg soak.Config
	cmd := &cobra.Command{
		Use:   "soak --dir DIR",
		Short: "Inject faults into daemons and check their guarantees",
		Long: `Run stand-ins of the platform, callers and proxies, and inject faults into
daemons that scripts/soak.sh starts and restarts. The script and this command
exchange files in DIR. The results that callers and runners see are checked
against the guarantees of the daemons. The exit code is 5 if one was broken.`,
		Example: "  scripts/soak.sh 1 2 3",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(soak.Scenarios, cfg.Scenario) {
				return exit.Errorf(exit.Usage, "--scenario %q is none of %v", cfg.Scenario, soak.Scenarios)
			}
			if cfg.Dir == "" || cfg.Daemons < 1 || cfg.Callers < 1 || cfg.Duration <= 0 {
				return exit.Errorf(exit.Usage, "--dir DIR is missing, or --daemons, --callers or --length is not above 0")
			}
			cfg.Out = cmd.OutOrStdout()
			return exit.Wrap(exit.Faults, soak.Run(cmd.Context(), cfg))
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&cfg.Dir, "dir", "", "folder shared with the script")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the faults and requests")
	fs.StringVar((*string)(&cfg.Scenario), "scenario", string(soak.Mixed), "faults: "+string(soak.Mixed)+" draws single faults of all kinds, "+string(soak.Restarts)+" kills most daemons again and again while endpoints refuse requests, "+string(soak.Restores)+" is "+string(soak.Mixed)+" with a store that comes back from older copies, "+string(soak.Releases)+" replaces engines by others of another software version while daemons are killed all at once")
	fs.IntVar(&cfg.Daemons, "daemons", defaultDaemons, "number of daemons")
	fs.IntVar(&cfg.Callers, "callers", defaultCallers, "number of concurrent callers")
	fs.DurationVar(&cfg.Duration, "length", defaultLength, "time during which faults are injected")
	return cmd
}
