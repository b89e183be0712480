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
	// Cobra adds these flags to a command when it runs; most of the commands
	// described here have not run.
	cmd.InitDefaultHelpFlag()
	cmd.InitDefaultVersionFlag()
	fmt.Fprintf(b, "\n## %s\n\n", cmd.CommandPath())
	fmt.Fprintf(b, "%s\n\n", codeBlock(cmd.UseLine()))
	fmt.Fprintf(b, "%s\n", formatProse(cmd.Long))
	if cmd.Example != "" {
		fmt.Fprintf(b, "\nExamples:\n\n%s\n", codeBlock(cmd.Example))
	}
	describeFlags(b, "Flags", cmd.LocalNonPersistentFlags())
	describeFlags(b, "Flags of this command and its subcommands", cmd.PersistentFlags())
	for _, sub := range visibleSubcommands(cmd) {
		describeCommand(b, sub)
	}
}

// visibleSubcommands returns the subcommands that are not hidden, sorted by
// name. Cobra's own subcommands are left out, since they exist only once the
// command has run.
func visibleSubcommands(cmd *cobra.Command) []*cobra.Command {
	var visible []*cobra.Command
	for _, sub := range cmd.Commands() {
		if !sub.Hidden && sub.Name() != "help" && sub.Name() != "completion" {
			visible = append(visible, sub)
		}
	}
	slices.SortFunc(visible, func(a, b *cobra.Command) int { return strings.Compare(a.Name(), b.Name()) })
	return visible
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

// codeBlock indents text, so that Markdown shows it unchanged.
func codeBlock(text string) string {
	var lines []string
	for _, line := range strings.Split(strings.Trim(text, "\n"), "\n") {
		lines = append(lines, "    "+strings.TrimPrefix(line, "  "))
	}
	return strings.Join(lines, "\n")
}

// formatProse keeps paragraphs and shows lists as code blocks.
func formatProse(text string) string {
	paragraphs := strings.Split(strings.TrimSpace(text), "\n\n")
	for i, p := range paragraphs {
		if title, list, ok := strings.Cut(p, ":\n  "); ok {
			paragraphs[i] = title + ":\n\n" + codeBlock("  "+list)
		}
	}
	return strings.Join(paragraphs, "\n\n")
}

// inlineCode shows a short text as code; an empty text stays empty.
func inlineCode(text string) string {
	if text == "" {
		return ""
	}
	return "`" + tableCell(text) + "`"
}

// tableCell puts a text on one line and escapes it for a table.
func tableCell(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "\\|")
}
