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
	// memoryShare of the process's bound is the runtime's own limit: beyond it
	// the collector works harder rather than let the process be killed.
	memoryLimitShare = 0.6
	// collectAt is the heap's growth, in percent, at which the collector runs:
	// memory is dearer than processor time on the small entry hosts.
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
		Long: `Runs a daemon on the users' platform: what is configured and which endpoints there
are is read from the platform's store. The settings are those that the platform
renders from deploy/settings.json.tmpl; their path is in ` + platform.SettingsVariable + `.

SIGTERM or an interrupt begins a planned stop; a second one ends the process at
once. SIGHUP has the settings read and checked again.`,
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
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and end")
	return cmd
}

func runPlatform(cmd *cobra.Command, s *gateway.Settings, path string) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * s.MemoryMB * bytesInMB))
	registry := metrics.New(string(s.Daemon))
	sides := platform.New(cmd.Context(), s, registry)
	daemon, err := gateway.New(s, sides, gateway.Options{
		Log:     cmd.OutOrStdout(),
		Metrics: registry,
		Seed:    rand.Uint64(),
	})
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := daemon.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-hangups:
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
