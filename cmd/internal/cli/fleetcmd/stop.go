package fleetcmd

import (
	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
)

// stopResult is the JSON result of stop.
type stopResult struct {
	Daemon   string `json:"daemon"`
	Stopping bool   `json:"stopping"`
}

// Stop returns the command that begins a planned stop of one daemon.
func Stop(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "stop",
		Short: "Begin a planned stop of one daemon",
		Long: `Begin a planned stop of the daemon at --operators, which must be one address.
The daemon is removed from the entry answers, still serves callers that hold its
address, finishes its streams, hands over its leases and exits. No request is
interrupted. The command returns once the stop has begun.`,
		Example: "  samphirequay stop --operators 127.0.0.1:7102",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.RequireOneAddress(); err != nil {
				return err
			}
			client, err := opts.Client()
			if err != nil {
				return err
			}
			if err := client.Stop(cmd.Context()); err != nil {
				return err
			}
			address := client.Address()
			rows := output.Rows{}
			rows.Add("stopping daemon=" + address)
			return output.Print(cmd.OutOrStdout(), opts.Output, stopResult{Daemon: address, Stopping: true}, rows)
		},
	}
	opts.ConnectionFlags(cmd.Flags())
	return cmd
}
