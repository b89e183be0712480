package fleetcmd

import (
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
)

// explainKinds lists the kinds of objects whose decisions are recorded.
var explainKinds = []string{"request", "endpoint", "placement", "change"}

// Explain returns the command that shows the decisions about one object.
func Explain(opts *common.Options) *cobra.Command {
	var logs string
	cmd := &cobra.Command{
		Use:   "explain request|endpoint|placement|change ID",
		Short: "Show the recorded decisions about one object",
		Long: `Show, oldest first, the decisions that were recorded about a request (by the
id in the Samphirequay-Request header), an endpoint, the placement of an
endpoint, or a change.

With --logs, a request is explained from the daemons' log lines in a file, in
all files under a folder, or on standard input (-): the lines of all daemons
about the request, the events at its endpoints, and the gaps in the logs.`,
		Example: `  samphirequay explain request 01J9ZQ4T5X3M8C0V7B2N6K1D4F
  samphirequay explain request 9c41d07be2a35f68 --logs /var/log/samphirequay
  samphirequay explain placement summariser-03`,
		ValidArgs: explainKinds,
		Args:      common.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !slices.Contains(explainKinds, args[0]) {
				return exit.Errorf(exit.Usage, "can't explain %q: must be one of %s", args[0], strings.Join(explainKinds, ", "))
			}
			if logs != "" {
				return explainFromLogs(cmd, opts, args, logs)
			}
			client, err := opts.Client()
			if err != nil {
				return err
			}
			e, err := client.Explain(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			if len(e.Lines) == 0 && opts.Output == output.Table {
				return exit.Errorf(exit.Failed, "nothing is recorded about %s %q", args[0], args[1])
			}
			rows := output.Rows{Header: []string{"AT", "DAEMON", "EVENT", "TEXT"}}
			for _, l := range e.Lines {
				rows.Add(l.At.UTC().Format(time.RFC3339Nano), string(l.Daemon), l.Event, l.Text)
			}
			return output.Print(cmd.OutOrStdout(), opts.Output, e, rows)
		},
	}
	cmd.Flags().StringVar(&logs, "logs", "", "explain a request from log lines: a file, a folder, or - for standard input")
	opts.ConnectionFlags(cmd.Flags())
	return cmd
}
