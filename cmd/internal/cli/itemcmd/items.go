// Package itemcmd holds the commands that list, read, put, delete and label
// the items of the live configuration.
package itemcmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/strict"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// kindDescriptions describes each kind of item.
var kindDescriptions = map[live.Kind]string{
	live.KindTeam:     "A team is a party that sends requests and trusts no other team.",
	live.KindService:  "A service is the target that callers name in a request: a model or a plain service.",
	live.KindPool:     "A pool is a set of endpoints chosen by their labels.",
	live.KindEndpoint: "An endpoint is one engine or plain server. Operators control it through its labels.",
	live.KindLink:     "A link is a rate-limited path between two failure domains.",
}

// Commands returns one command for each kind of item.
func Commands(opts *common.Options) []*cobra.Command {
	var cmds []*cobra.Command
	for _, kind := range document.Kinds {
		cmds = append(cmds, kindCommand(opts, kind))
	}
	return cmds
}

func kindCommand(opts *common.Options, kind live.Kind) *cobra.Command {
	cmd := &cobra.Command{
		Use:     string(kind),
		Short:   fmt.Sprintf("List, read, put and delete %ss", kind),
		Long:    kindDescriptions[kind],
		Example: fmt.Sprintf("  samphirequay %s list --operators 127.0.0.1:7102", kind),
		Args:    common.Args(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	opts.ConnectionFlags(cmd.PersistentFlags())
	put, del := putCommand(opts, kind), deleteCommand(opts, kind)
	opts.ChangeFlag(put.Flags())
	opts.ChangeFlag(del.Flags())
	cmd.AddCommand(listCommand(opts, kind), getCommand(opts, kind), put, del)
	return cmd
}

func listCommand(opts *common.Options, kind live.Kind) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   fmt.Sprintf("List all %ss", kind),
		Long:    fmt.Sprintf("List all %ss of the newest configuration at the daemon.", kind),
		Example: fmt.Sprintf("  samphirequay %s list --output json", kind),
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := current(cmd, opts)
			if err != nil {
				return err
			}
			items := document.Items(doc, kind)
			values := make([]any, 0, len(items))
			for _, item := range items {
				values = append(values, item.Value)
			}
			return output.Print(cmd.OutOrStdout(), opts.Output, values, table(kind, items))
		},
	}
}

func getCommand(opts *common.Options, kind live.Kind) *cobra.Command {
	return &cobra.Command{
		Use:     "get NAME",
		Short:   fmt.Sprintf("Read one %s", kind),
		Long:    fmt.Sprintf("Read one %s of the newest configuration at the daemon.", kind),
		Example: fmt.Sprintf("  samphirequay %s get NAME --output json > item.json", kind),
		Args:    common.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := current(cmd, opts)
			if err != nil {
				return err
			}
			item, found := document.Find(doc, kind, args[0])
			if !found {
				return exit.Errorf(exit.Failed, "there is no %s %q at revision %d", kind, args[0], doc.Revision)
			}
			return output.Print(cmd.OutOrStdout(), opts.Output, item.Value, table(kind, []document.Item{item}))
		},
	}
}

func putCommand(opts *common.Options, kind live.Kind) *cobra.Command {
	return &cobra.Command{
		Use:   "put FILE",
		Short: fmt.Sprintf("Create or replace one %s", kind),
		Long: fmt.Sprintf("Create or replace one %s from a file of JSON with comments; - is the standard input.\n"+
			"The item's name is in the file. Missing fields get their defaults.", kind),
		Example: fmt.Sprintf("  samphirequay %s put item.json", kind),
		Args:    common.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			item, err := readItem(cmd, kind, args[0])
			if err != nil {
				return err
			}
			op, err := document.PutOp(item)
			if err != nil {
				return err
			}
			return change(cmd, opts, op)
		},
	}
}

func readItem(cmd *cobra.Command, kind live.Kind, path string) (document.Item, error) {
	text, err := common.ReadFile(cmd, path)
	if err != nil {
		return document.Item{}, err
	}
	value, err := document.New(kind)
	if err != nil {
		return document.Item{}, err
	}
	if err := strict.Decode(path, text, value); err != nil {
		return document.Item{}, exit.Wrap(exit.Faults, err)
	}
	name := document.Name(value)
	if name == "" {
		return document.Item{}, exit.Errorf(exit.Faults, "%s: the %s has no name", path, kind)
	}
	return document.Item{Kind: kind, Name: name, Value: value}, nil
}

func deleteCommand(opts *common.Options, kind live.Kind) *cobra.Command {
	return &cobra.Command{
		Use:     "delete NAME",
		Short:   fmt.Sprintf("Delete one %s", kind),
		Long:    fmt.Sprintf("Delete one %s. The change is rejected while other items refer to it.", kind),
		Example: fmt.Sprintf("  samphirequay %s delete NAME", kind),
		Args:    common.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return change(cmd, opts, opapi.Op{Action: revision.ActionDelete, Kind: kind, Name: args[0]})
		},
	}
}

// current reads the newest configuration.
func current(cmd *cobra.Command, opts *common.Options) (*live.Document, error) {
	client, err := opts.Client()
	if err != nil {
		return nil, err
	}
	return client.Config(cmd.Context(), 0)
}

// change submits a change of one step and prints the new revision.
func change(cmd *cobra.Command, opts *common.Options, op opapi.Op) error {
	client, err := opts.Client()
	if err != nil {
		return err
	}
	answer, err := client.Change(cmd.Context(), opapi.ChangeRequest{ID: opts.ChangeID, Author: common.Author(), Ops: []opapi.Op{op}})
	if err != nil {
		return err
	}
	return PrintChange(cmd, opts, answer)
}

// PrintChange prints an accepted change.
func PrintChange(cmd *cobra.Command, opts *common.Options, answer opapi.ChangeAnswer) error {
	rows := output.Rows{}
	rows.Add(fmt.Sprintf("accepted change=%s revision=%d", answer.ID, answer.Revision))
	return output.Print(cmd.OutOrStdout(), opts.Output, answer, rows)
}
