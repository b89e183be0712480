package docscmd

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// commandsPage describes every command that is not hidden.
func commandsPage(roots ...*cobra.Command) string {
	var b strings.Builder
	b.WriteString("# Commands\n")
	for _, root := range roots {
		describeCommand(&b, root)
	}
	return b.String()
}

func describeCommand(b *strings.Builder, cmd *cobra.Command) {
	// Cobra adds these when a command runs; here none or one of them has.
	cmd.InitDefaultHelpFlag()
	cmd.InitDefaultVersionFlag()
	fmt.Fprintf(b, "\n## %s\n\n", cmd.CommandPath())
	fmt.Fprintf(b, "%s\n\n", codeBlock(cmd.UseLine()))
	fmt.Fprintf(b, "%s\n", formatProse(cmd.Long))
	if cmd.Example != "" {
		fmt.Fprintf(b, "\nExamples:\n\n%s\n", codeBlock(cmd.Example))
	}
	describeFlags(b, "Flags", cmd.LocalNonPersistentFlags())
	describeFlags(b, "Flags of this and all below", cmd.PersistentFlags())
	for _, sub := range visibleSubcommands(cmd) {
		describeCommand(b, sub)
	}
}

// subcommands are those that people see, by name. Cobra's own are left out:
// they depend on whether the command has run.
func visibleSubcommands(cmd *cobra.Command) []*cobra.Command {
	var seen []*cobra.Command
	for _, sub := range cmd.Commands() {
		if !sub.Hidden && sub.Name() != "help" && sub.Name() != "completion" {
			seen = append(seen, sub)
		}
	}
	slices.SortFunc(seen, func(a, b *cobra.Command) int { return strings.Compare(a.Name(), b.Name()) })
	return seen
}

func describeFlags(b *strings.Builder, title string, flags *pflag.FlagSet) {
	rows := &strings.Builder{}
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Hidden || f.Name == "help" || f.Name == "version" {
			return
		}
		kind, usage := pflag.UnquoteUsage(f)
		fmt.Fprintf(rows, "| `--%s` | %s | %s | %s |\n", f.Name, kind, inlineCode(defaultOf(f)), tableCell(usage))
	})
	if rows.Len() > 0 {
		fmt.Fprintf(b, "\n%s:\n\n| flag | value | default | meaning |\n|---|---|---|---|\n%s", title, rows)
	}
}

func defaultOf(f *pflag.Flag) string {
	if f.DefValue == "[]" {
		return ""
	}
	return f.DefValue
}

// block indents text, so that it is shown as it stands.
func codeBlock(text string) string {
	var lines []string
	for _, line := range strings.Split(strings.Trim(text, "\n"), "\n") {
		lines = append(lines, "    "+strings.TrimPrefix(line, "  "))
	}
	return strings.Join(lines, "\n")
}

// prose keeps paragraphs, and shows lists as they stand.
func formatProse(text string) string {
	paragraphs := strings.Split(strings.TrimSpace(text), "\n\n")
	for i, p := range paragraphs {
		if title, list, ok := strings.Cut(p, ":\n  "); ok {
			paragraphs[i] = title + ":\n\n" + codeBlock("  "+list)
		}
	}
	return strings.Join(paragraphs, "\n\n")
}

// code shows a short text as code; nothing stays nothing.
func inlineCode(text string) string {
	if text == "" {
		return ""
	}
	return "`" + tableCell(text) + "`"
}

// cell makes a text fit into one cell of a table.
func tableCell(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "\\|")
}
