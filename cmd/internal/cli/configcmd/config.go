// Package configcmd holds the commands for the whole live configuration:
// check, apply, get, history, diff and explain.
package configcmd

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/strict"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

// Command returns the commands for the live configuration.
func Command(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, apply and read the live configuration",
		Long: `The live configuration holds teams, services, pools, endpoints and links. Each
accepted change gives it a new revision, which takes effect on all daemons
within seconds. Revisions never decrease.`,
		Example: "  samphirequay config apply fleet.hujson",
		Args:    common.Args(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	opts.ConnectionFlags(cmd.PersistentFlags())
	cmd.AddCommand(checkCommand(opts), applyCommand(opts), getCommand(opts), historyCommand(opts), diffCommand(opts), explainCommand(opts))
	return cmd
}

// readDocument reads and checks a file that holds a whole live configuration.
// The document has its defaults filled in; it is nil if there are faults.
func readDocument(cmd *cobra.Command, path string) (*live.Document, settings.Faults, error) {
	text, err := common.ReadFile(cmd, path)
	if err != nil {
		return nil, nil, err
	}
	doc, faults := settings.ParseDocument(path, text)
	return doc, faults, nil
}

// readPart reads a file that may hold a part of a configuration, with
// references to items that are not in the file.
func readPart(cmd *cobra.Command, path string) (*live.Document, error) {
	text, err := common.ReadFile(cmd, path)
	if err != nil {
		return nil, err
	}
	var doc live.Document
	if err := strict.Decode(path, text, &doc); err != nil {
		return nil, exit.Wrap(exit.Faults, err)
	}
	return &doc, nil
}

// faultsError returns an error with the first fault and the number of others.
func faultsError(faults settings.Faults) error {
	if len(faults) == 1 {
		return exit.Errorf(exit.Faults, "%w", faults[0])
	}
	return exit.Errorf(exit.Faults, "%w (and %d more)", faults[0], len(faults)-1)
}

// fault is one fault in the JSON result of check.
type fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// checkResult is the JSON result of check.
type checkResult struct {
	File   string  `json:"file"`
	OK     bool    `json:"ok"`
	Faults []fault `json:"faults"`
}

func checkCommand(opts *common.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file without contacting a daemon",
		Long: `Check a file of JSON with comments that holds a live configuration: its
syntax, unknown fields, types, names, selectors and references. No daemon is
contacted. - is the standard input.`,
		Example: "  samphirequay config check fleet.hujson",
		Args:    common.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, faults, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			answer := checkResult{File: args[0], OK: len(faults) == 0, Faults: []fault{}}
			rows := output.Rows{}
			for _, f := range faults {
				answer.Faults = append(answer.Faults, fault{f.Line, f.Column, f.Field, f.Message})
				rows.Add(f.Error())
			}
			if answer.OK {
				rows.Add(args[0] + ": ok")
			}
			if err := output.Print(cmd.OutOrStdout(), opts.Output, answer, rows); err != nil {
				return err
			}
			if !answer.OK {
				return faultsError(faults)
			}
			return nil
		},
	}
}

func getCommand(opts *common.Options) *cobra.Command {
	var revision uint64
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Read the live configuration as JSON",
		Long: `Read the newest live configuration, or a revision that the daemon still keeps.
The output is always JSON and is valid input for apply.`,
		Example: "  samphirequay config get --revision 17 > fleet-17.json",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := opts.Client()
			if err != nil {
				return err
			}
			doc, err := client.Config(cmd.Context(), revision)
			if err != nil {
				return err
			}
			return output.PrintJSON(cmd.OutOrStdout(), doc)
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to read; 0 is the newest")
	return cmd
}

func historyCommand(opts *common.Options) *cobra.Command {
	var after uint64
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List accepted changes",
		Long:    "List accepted changes, oldest first, with their revision, time, author and steps.",
		Example: "  samphirequay config history --after 17 --limit 20",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := opts.Client()
			if err != nil {
				return err
			}
			history, err := client.History(cmd.Context(), after, limit)
			if err != nil {
				return err
			}
			rows := output.Rows{Header: []string{"REVISION", "AT", "AUTHOR", "CHANGE", "STEPS"}}
			for _, e := range history.Entries {
				rows.Add(strconv.FormatUint(e.Revision, 10), e.At.UTC().Format(time.RFC3339), e.Author, e.ID, stepsText(e.Ops))
			}
			return output.Print(cmd.OutOrStdout(), opts.Output, history, rows)
		},
	}
	cmd.Flags().Uint64Var(&after, "after", 0, "list changes after this revision")
	cmd.Flags().IntVar(&limit, "limit", 50, "maximum number of changes to list")
	return cmd
}

// stepsText summarizes the steps of a change for one table cell.
func stepsText(ops []opapi.Op) string {
	const shown = 3
	var parts []string
	for i, op := range ops {
		if i == shown {
			parts = append(parts, "and "+strconv.Itoa(len(ops)-shown)+" more")
			break
		}
		parts = append(parts, StepText(op))
	}
	return strings.Join(parts, "; ")
}

// StepText formats one step of a change.
func StepText(op opapi.Op) string {
	text := op.Action + " " + string(op.Kind) + " " + op.Name
	if len(op.Labels) > 0 {
		text += " " + common.LabelText(op.Labels)
	}
	return text
}

// compactJSON returns the JSON of a value on one line.
func compactJSON(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
