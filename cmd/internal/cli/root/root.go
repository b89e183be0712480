// Package root builds the samphirequay command.
package root

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
	"github.com/samphirequay/samphirequay/cmd/internal/cli/configcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/docscmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/experimentcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/fleetcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/itemcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/keyscmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/loadcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/localcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/reportcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/soakcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/standincmd"
	"github.com/samphirequay/samphirequay/cmd/internal/version"
)

// New returns the command with all its subcommands.
func New() *cobra.Command {
	opts := &common.Options{}
	cmd := &cobra.Command{
		Use:   "samphirequay",
		Short: "Operate, try and measure samphirequay",
		Long: `Samphirequay routes requests to separate prefill and decode pools that many
teams share. This command is for operators, newcomers and experiments.

` + exit.Help,
		Example: `  samphirequay local --requests 200
  samphirequay status --operators 127.0.0.1:7102`,
		Version:       strings.TrimPrefix(version.Read().Line("samphirequay"), "samphirequay "),
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          common.Args(cobra.NoArgs),
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return output.CheckFormat(opts.Output)
		},
	}
	cmd.SetVersionTemplate("samphirequay {{.Version}}\n")
	opts.OutputFlag(cmd.PersistentFlags())
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exit.Wrap(exit.Usage, err) })
	cmd.AddCommand(itemcmd.Commands(opts)...)
	cmd.AddCommand(
		itemcmd.Label(opts), configcmd.Command(opts), fleetcmd.Status(opts), fleetcmd.Explain(opts),
		fleetcmd.Quarantine(opts), fleetcmd.Stop(opts), keyscmd.Command(opts), loadcmd.Command(opts),
		localcmd.Command(opts), experimentcmd.Command(opts), reportcmd.Command(opts), standincmd.Command(opts), soakcmd.Command(opts),
		versionCommand(opts),
		docscmd.Command(),
	)
	return cmd
}

func versionCommand(opts *common.Options) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Long:    "Print the version and the source revision of this build.",
		Example: "  samphirequay version --output json",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			info := version.Read()
			rows := output.Rows{}
			rows.Add(info.Line("samphirequay"))
			return output.Print(cmd.OutOrStdout(), opts.Output, info, rows)
		},
	}
}

// Main runs the command and returns its exit code. A second interrupt ends the
// process immediately.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	cmd := New()
	cmd.SetArgs(args)
	cmd.SetIn(stdin)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exit.OK
	}
	fmt.Fprintf(stderr, "samphirequay: %s\n", oneLine(err))
	return codeOf(err)
}

// codeOf returns the exit code of an error. Cobra's error for an unknown command
// has no code, so it is recognized by its text.
func codeOf(err error) int {
	if strings.HasPrefix(err.Error(), "unknown command ") {
		return exit.Usage
	}
	return exit.Code(err)
}

// oneLine returns the text of an error on one line.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
