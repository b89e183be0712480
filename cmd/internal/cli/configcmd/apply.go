package configcmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// applyResult is the JSON result of apply.
type applyResult struct {
	// Change is empty if nothing differs, or with --dry-run.
	Change   string     `json:"change,omitempty"`
	Revision uint64     `json:"revision"`
	DryRun   bool       `json:"dry_run"`
	Steps    []opapi.Op `json:"steps"`
}

func applyCommand(opts *common.Options) *cobra.Command {
	var prune, dryRun bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make the live configuration equal to a file",
		Long: `Compare a file with the newest configuration and submit the differences as one
atomic change. The change is rejected with exit code 3 if the configuration was
changed by another user in the meantime; in that case, run the command again.
Items that are not in the file stay unless --prune is given.`,
		Example: `  samphirequay config apply fleet.hujson --dry-run
  samphirequay config apply fleet.hujson --prune`,
		Args: common.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readToApply(cmd, args[0], prune)
			if err != nil {
				return err
			}
			answer, err := apply(cmd, opts, doc, prune, dryRun)
			if err != nil {
				return err
			}
			return printApply(cmd, opts, answer)
		},
	}
	opts.ChangeFlag(cmd.Flags())
	cmd.Flags().BoolVar(&prune, "prune", false, "delete the items that are not in the file")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show the steps without applying them")
	return cmd
}

// readToApply reads the file. With prune, which deletes the items that are not
// in the file, the file must hold a whole configuration.
func readToApply(cmd *cobra.Command, path string, prune bool) (*live.Document, error) {
	if !prune {
		return readPart(cmd, path)
	}
	doc, faults, err := readDocument(cmd, path)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, faultsError(faults)
	}
	return doc, nil
}

func apply(cmd *cobra.Command, opts *common.Options, doc *live.Document, prune, dryRun bool) (applyResult, error) {
	client, err := opts.Client()
	if err != nil {
		return applyResult{}, err
	}
	current, err := client.Config(cmd.Context(), 0)
	if err != nil {
		return applyResult{}, err
	}
	ops, err := document.Diff(current, doc, prune)
	if err != nil {
		return applyResult{}, err
	}
	answer := applyResult{Revision: current.Revision, DryRun: dryRun, Steps: ops}
	if dryRun || len(ops) == 0 {
		return answer, nil
	}
	request := opapi.ChangeRequest{ID: opts.ChangeID, Expect: current.Revision, Author: common.Author(), Ops: ops}
	accepted, err := client.Change(cmd.Context(), request)
	if err != nil {
		return answer, err
	}
	answer.Change = accepted.ID
	answer.Revision = accepted.Revision
	return answer, nil
}

func printApply(cmd *cobra.Command, opts *common.Options, answer applyResult) error {
	if answer.Steps == nil {
		answer.Steps = []opapi.Op{}
	}
	rows := output.Rows{}
	for _, op := range answer.Steps {
		rows.Add(StepText(op))
	}
	switch {
	case len(answer.Steps) == 0:
		rows.Add(fmt.Sprintf("unchanged revision=%d", answer.Revision))
	case answer.DryRun:
		rows.Add(fmt.Sprintf("dry-run steps=%d revision=%d", len(answer.Steps), answer.Revision))
	default:
		rows.Add(fmt.Sprintf("accepted change=%s revision=%d steps=%d", answer.Change, answer.Revision, len(answer.Steps)))
	}
	return output.Print(cmd.OutOrStdout(), opts.Output, answer, rows)
}
