package daemoncmd

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/daemon/gateway"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/platform"
)

const (
	// memoryLimitShare is the Go runtime's memory limit as a share of the
	// process's limit: above it, the garbage collector runs more often, so that
	// the process is not killed.
	memoryLimitShare = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage
	// collection. It is low since the small entry hosts have less memory to spare
	// than processor time.
	gcPercent = 50
	bytesInMB = 1 << 20
)

// newPlatform returns the command that runs a daemon on the users' platform.
func newPlatform() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:   "platform [--settings FILE]",
		Short: "Run a daemon on the users' platform",
		Long: `Run a daemon on the users' platform. The configuration and the list of endpoints
are read from the platform's store. The platform renders the settings from
deploy/settings.json.tmpl; the path of the settings is in ` + platform.SettingsVariable + `.

SIGTERM or an interrupt begins a planned stop. A repeated SIGTERM changes nothing;
an interrupt after the first signal ends the process immediately. On SIGHUP, the
settings are read and checked again; changed scheduling switches apply at once,
other changes at the next start.`,
		Example: "  samphirequayd platform --settings /etc/samphirequay/settings.toml --check",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return exit.Errorf(exit.Usage, "--settings FILE is missing, and %s is not set", platform.SettingsVariable)
			}
			s, faults := gateway.Load(path)
			if err := reportFaults(cmd.ErrOrStderr(), faults); err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
				return err
			}
			return runPlatform(cmd, s, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "file with the settings, JSON with comments; default: $"+platform.SettingsVariable)
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

func runPlatform(cmd *cobra.Command, s *gateway.Settings, path string) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * s.MemoryMB * bytesInMB))
	registry := metrics.New(string(s.Daemon))
	ports := platform.New(cmd.Context(), s, registry)
	daemon, err := gateway.New(s, ports, gateway.Options{
		Log:     cmd.OutOrStdout(),
		Metrics: registry,
		Seed:    rand.Uint64(),
	})
	if err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	if err := daemon.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-reloads:
			daemon.Reload(path)
		case <-cmd.Context().Done():
			daemon.BeginStop()
			<-daemon.Done()
			return nil
		case <-daemon.Done():
			return nil
		}
	}
}
