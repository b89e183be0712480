package fleetcmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/itemcmd"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Quarantine returns the commands for the quarantine of requests that crash
// endpoints.
func Quarantine(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List and lift quarantines of requests that crash endpoints",
		Long: `A request that crashes the endpoints that run it is identified by a fingerprint
of its team and content, and refused until its quarantine expires or is lifted.`,
		Example: "  samphirequay quarantine list",
		Args:    common.Args(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	opts.ConnectionFlags(cmd.PersistentFlags())
	cmd.AddCommand(quarantineList(opts), quarantineLift(opts))
	return cmd
}

func quarantineList(opts *common.Options) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the quarantined fingerprints",
		Long:    "List the quarantined fingerprints with their team, the crashes they caused and the time until they expire.",
		Example: "  samphirequay quarantine list --output json",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := opts.Client()
			if err != nil {
				return err
			}
			list, err := client.Quarantine(cmd.Context())
			if err != nil {
				return err
			}
			rows := output.Rows{Header: []string{"FINGERPRINT", "TEAM", "CRASHES", "EXPIRES-IN", "DAEMON"}}
			for _, e := range list.Entries {
				left := time.Duration(e.ExpiresInMS) * time.Millisecond
				rows.Add(e.Fingerprint, string(e.Team), strconv.Itoa(e.Crashes), left.Round(time.Second).String(), string(e.Daemon))
			}
			return output.Print(cmd.OutOrStdout(), opts.Output, list, rows)
		},
	}
}

func quarantineLift(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "lift SERVICE FINGERPRINT|all",
		Short: "Lift a quarantine",
		Long: `Lift the quarantine of one fingerprint, or of all, at a service. This sets the
label ` + live.LabelLiftQuarantine + ` on the service; remove the label with
"samphirequay label service SERVICE ` + live.LabelLiftQuarantine + `-".`,
		Example: "  samphirequay quarantine lift document-summariser 5f1c0e77",
		Args:    common.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := opts.Client()
			if err != nil {
				return err
			}
			op := opapi.Op{
				Action: revision.ActionLabel, Kind: live.KindService, Name: args[0],
				Labels: live.Labels{live.LabelLiftQuarantine: args[1]},
			}
			answer, err := client.Change(cmd.Context(), opapi.ChangeRequest{ID: opts.ChangeID, Author: common.Author(), Ops: []opapi.Op{op}})
			if err != nil {
				return err
			}
			return itemcmd.PrintChange(cmd, opts, answer)
		},
	}
	opts.ChangeFlag(cmd.Flags())
	return cmd
}
