// Package soakcmd holds the command that soaks daemons in faults.
package soakcmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/soak"
)

// Defaults of a run: a few dozen processes are for several runs at once.
const (
	defaultDaemons = 5
	defaultCallers = 16
	defaultLength  = 15 * time.Second
)

// Command returns the command.
func Command(*common.Options) *cobra.Command {
	var cfg soak.Config
	cmd := &cobra.Command{
		Use:   "soak --dir DIR",
		Short: "Inject faults into daemons and check what they promise",
		Long: `Runs stand-ins of the platform, callers and proxies, and injects faults into
daemons that scripts/soak.sh starts and starts again: DIR connects the two. What
callers and runners see is checked against the promises. The exit code is 5 if
one was broken.`,
		Example: "  scripts/soak.sh 1 2 3",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Dir == "" || cfg.Daemons < 1 || cfg.Callers < 1 || cfg.Length <= 0 {
				return exit.Errorf(exit.Usage, "--dir DIR is missing, or --daemons, --callers or --length is not above 0")
			}
			cfg.Out = cmd.OutOrStdout()
			return exit.Wrap(exit.Faults, soak.Run(cmd.Context(), cfg))
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&cfg.Dir, "dir", "", "folder shared with the script")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the faults and requests")
	fs.IntVar(&cfg.Daemons, "daemons", defaultDaemons, "number of daemons")
	fs.IntVar(&cfg.Callers, "callers", defaultCallers, "callers that send at once")
	fs.DurationVar(&cfg.Length, "length", defaultLength, "for how long faults are injected")
	return cmd
}
