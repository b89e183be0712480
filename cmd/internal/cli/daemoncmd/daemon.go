// Package daemoncmd holds the command line of the daemon.
package daemoncmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/version"
	"github.com/samphirequay/samphirequay/daemon/app"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

// New returns the daemon's command.
func New() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:   "samphirequayd --settings FILE",
		Short: "The samphirequay daemon",
		Long: `The daemon that runs on every entry host. SIGTERM or an interrupt begins a
planned stop, which interrupts no request. A repeated SIGTERM changes nothing;
an interrupt after the first signal ends the process immediately.

Exit codes:
  0  stopped as planned, or the settings are valid
  1  failed
  2  wrong usage
  5  the settings have faults`,
		Example: `  samphirequayd --settings /etc/samphirequay/daemon.hujson
  samphirequayd --settings daemon.hujson --check`,
		Version:       strings.TrimPrefix(version.Read().Line("samphirequayd"), "samphirequayd "),
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return exit.Errorf(exit.Usage, "--settings FILE is missing")
			}
			s, faults := settings.Load(path)
			if err := reportFaults(cmd.ErrOrStderr(), faults); err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
				return err
			}
			return run(cmd, s)
		},
	}
	cmd.SetVersionTemplate("samphirequayd {{.Version}}\n")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exit.Wrap(exit.Usage, err) })
	cmd.AddCommand(newPlatform())
	cmd.Flags().StringVar(&path, "settings", "", "file with the settings, JSON with comments")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

// reportFaults prints all faults but the last, which it returns as the error.
func reportFaults(w io.Writer, faults settings.Faults) error {
	if len(faults) == 0 {
		return nil
	}
	for _, f := range faults[:len(faults)-1] {
		fmt.Fprintf(w, "samphirequayd: %s\n", f.Error())
	}
	return exit.Wrap(exit.Faults, faults[len(faults)-1])
}

// run runs the daemon until a signal or an operator stops it.
func run(cmd *cobra.Command, s *settings.Settings) error {
	daemon, err := app.New(s, app.Options{})
	if err != nil {
		return err
	}
	if err := daemon.Start(); err != nil {
		return err
	}
	select {
	case <-cmd.Context().Done():
	case <-daemon.Done():
		return nil
	}
	// The settings limit the time of the drain, so the context needs no deadline.
	return daemon.Stop(context.Background())
}

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores the default handling, so that a second interrupt ends the process
	// immediately.
	context.AfterFunc(ctx, stop)
	// A supervisor may repeat SIGTERM, which must not cut the answers that a planned stop
	// waits for.
	repeated := make(chan os.Signal, 1)
	signal.Notify(repeated, syscall.SIGTERM)
	defer signal.Stop(repeated)
	cmd := New()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "samphirequayd: %s\n", strings.Join(strings.Fields(err.Error()), " "))
	}
	return exit.Code(err)
}
