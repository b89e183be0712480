// Package fleetcmd holds the commands for the running fleet: its status,
// explanations of its decisions, the quarantine and planned stops.
package fleetcmd

import (
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Status returns the command that shows the state of the fleet.
func Status(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of the fleet on one screen",
		Long: `Show the fleet as one daemon sees it: hosts, pools, teams and leases, the
revision of the configuration, and whether the store is reachable.`,
		Example: "  samphirequay status --operators 127.0.0.1:7102",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := opts.Client()
			if err != nil {
				return err
			}
			status, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			if opts.Output == output.JSON {
				return output.PrintJSON(cmd.OutOrStdout(), status)
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
	opts.ConnectionFlags(cmd.Flags())
	return cmd
}

// printStatus writes the status as tables.
func printStatus(w io.Writer, s opapi.Status) error {
	store := "up"
	if !s.StoreUp {
		store = "DOWN"
	}
	if _, err := fmt.Fprintf(w, "daemon=%s revision=%d store=%s violations=%d\n", s.Daemon, s.Revision, store, s.Violations); err != nil {
		return err
	}
	for _, rows := range []output.Rows{hostRows(s), poolRows(s), teamRows(s), leaseRows(s)} {
		if len(rows.Rows) == 0 {
			continue
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
		if err := rows.Print(w); err != nil {
			return err
		}
	}
	return nil
}

func hostRows(s opapi.Status) output.Rows {
	rows := output.Rows{Header: []string{"HOST", "STATE", "DOMAIN", "REVISION", "IN-FLIGHT", "INCARNATION"}}
	for _, h := range s.Hosts {
		rows.Add(string(h.Daemon), h.State, string(h.Domain), formatCount(h.Revision), strconv.Itoa(h.InFlight), formatCount(uint64(h.Incarnation)))
	}
	return rows
}

func poolRows(s opapi.Status) output.Rows {
	rows := output.Rows{Header: []string{"POOL", "OWNER", "PREFILL", "DECODE", "PLAIN", "LEAVING", "EJECTED", "DOWN", "QUEUED", "RUNNING", "SLOTS", "ANSWERED", "REFUSED"}}
	for _, p := range s.Pools {
		rows.Add(string(p.Pool), string(p.Owner), strconv.Itoa(p.Prefill), strconv.Itoa(p.Decode), strconv.Itoa(p.Plain),
			strconv.Itoa(p.Leaving), strconv.Itoa(p.Ejected), strconv.Itoa(p.Unreachable), strconv.Itoa(p.Queued), strconv.Itoa(p.Running),
			strconv.Itoa(p.Slots), formatCount(p.Answered), formatCount(p.Refused))
	}
	return rows
}

func teamRows(s opapi.Status) output.Rows {
	rows := output.Rows{Header: []string{"TEAM", "IN-FLIGHT", "ANSWERED", "REFUSED"}}
	for _, t := range s.Teams {
		rows.Add(string(t.Team), strconv.Itoa(t.InFlight), formatCount(t.Answered), formatCount(t.Refused))
	}
	return rows
}

func leaseRows(s opapi.Status) output.Rows {
	rows := output.Rows{Header: []string{"LEASE", "HOLDER", "FENCE"}}
	for _, l := range s.Leases {
		rows.Add(l.Duty, string(l.Holder), formatCount(l.Fence))
	}
	return rows
}

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }
