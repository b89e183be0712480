package configcmd

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/operator"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
)

// difference is one item that differs. From or To is null if that configuration
// does not have the item.
type difference struct {
	Action string    `json:"action"`
	Kind   live.Kind `json:"kind"`
	Name   string    `json:"name"`
	From   any       `json:"from"`
	To     any       `json:"to"`
}

// diffResult is the JSON result of diff.
type diffResult struct {
	From        string       `json:"from"`
	To          string       `json:"to"`
	Differences []difference `json:"differences"`
}

func diffCommand(opts *common.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM [TO]",
		Short: "Compare revisions and files",
		Long: `Compare two configurations item by item. FROM and TO are each a revision or a
file; the default of TO is the newest revision.`,
		Example: `  samphirequay config diff 16 17
  samphirequay config diff fleet.hujson`,
		Args: common.Args(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				args = append(args, "0")
			}
			answer, err := diff(cmd, opts, args[0], args[1])
			if err != nil {
				return err
			}
			return printDiff(cmd, opts, answer)
		},
	}
}

func diff(cmd *cobra.Command, opts *common.Options, from, to string) (diffResult, error) {
	answer := diffResult{From: from, To: to, Differences: []difference{}}
	before, err := load(cmd, opts, from)
	if err != nil {
		return answer, err
	}
	after, err := load(cmd, opts, to)
	if err != nil {
		return answer, err
	}
	if after.Revision > 0 {
		answer.To = strconv.FormatUint(after.Revision, 10)
	}
	for _, d := range revision.Diff(before, after) {
		answer.Differences = append(answer.Differences, difference{
			Action: d.Action, Kind: d.Kind, Name: d.Name,
			From: findItem(before, d), To: findItem(after, d),
		})
	}
	return answer, nil
}

// findItem returns the item of a difference, or nil if doc does not have it.
func findItem(doc *live.Document, d revision.Difference) any {
	item, found := document.Find(doc, d.Kind, d.Name)
	if !found {
		return nil
	}
	return item.Value
}

// load reads a configuration and fills in its defaults. source is a revision or
// the path of a file.
func load(cmd *cobra.Command, opts *common.Options, source string) (*live.Document, error) {
	rev, err := strconv.ParseUint(source, 10, 64)
	if err != nil {
		doc, err := readPart(cmd, source)
		if err != nil {
			return nil, err
		}
		return live.Normalize(doc), nil
	}
	client, err := opts.Client()
	if err != nil {
		return nil, err
	}
	return fetch(cmd, client, rev)
}

func fetch(cmd *cobra.Command, client *operator.Client, rev uint64) (*live.Document, error) {
	doc, err := client.Config(cmd.Context(), rev)
	if err != nil {
		return nil, err
	}
	if rev > 0 && doc.Revision != rev {
		return nil, exit.Errorf(exit.Failed, "revision %d is not kept; the daemon returned %d", rev, doc.Revision)
	}
	return live.Normalize(doc), nil
}

func printDiff(cmd *cobra.Command, opts *common.Options, answer diffResult) error {
	rows := output.Rows{}
	for _, d := range answer.Differences {
		rows.Add(d.Action + " " + string(d.Kind) + " " + d.Name)
		if d.From != nil {
			rows.Add("  - " + compactJSON(d.From))
		}
		if d.To != nil {
			rows.Add("  + " + compactJSON(d.To))
		}
	}
	if len(answer.Differences) == 0 {
		rows.Add("no difference")
	}
	return output.Print(cmd.OutOrStdout(), opts.Output, answer, rows)
}
