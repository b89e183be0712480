// Package reportcmd holds the command that says from logs where requests and
// their time were lost.
package reportcmd

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/account"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// flags of the command.
type flags struct {
	logs, from, to, out string
}

// Command returns the command.
func Command(opts *common.Options) *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Say from logs what became of the requests of a span of time",
		Long: `Read the daemons' log lines and say what became of the requests: by route, by
outcome and reason; where the time of late answers went; what refusals waited
before they came, and whether their callers came back; prompts that were read
in vain, by cause; each second, the roles of the engines and their memory.

A request whose caller came back counts once. With --out, the account is
written as JSON with plots (SVG) beside it. The table ends with the share of
the lines that could not be read.`,
		Example: `  samphirequay report --logs /var/log/samphirequay
  samphirequay report --logs day.log --from 2026-12-03T10:00:00Z --to 2026-12-03T10:05:00Z --out account`,
		Args: common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, opts, &f) },
	}
	cmd.Flags().StringVar(&f.logs, "logs", "", "log lines: a file, a folder, or - for standard input (required)")
	cmd.Flags().StringVar(&f.from, "from", "", "leave out requests that arrived before, RFC 3339")
	cmd.Flags().StringVar(&f.to, "to", "", "leave out requests that arrived from then on, RFC 3339")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for the account as JSON, with plots")
	return cmd
}

func run(cmd *cobra.Command, opts *common.Options, f *flags) error {
	if f.logs == "" {
		return exit.Errorf(exit.Usage, "--logs is required: a file, a folder, or - for standard input")
	}
	span, err := f.arrivalBounds()
	if err != nil {
		return err
	}
	var logs logstory.Logs
	if err := logs.ReadPath(f.logs, cmd.InOrStdin()); err != nil {
		return err
	}
	made, err := account.Make(&logs, span)
	if err != nil {
		return fmt.Errorf("%s: %d lines, %d unreadable: %w", f.logs, len(logs.Lines), logs.Unreadable, err)
	}
	if f.out != "" {
		if err := made.Report().Write(f.out); err != nil {
			return err
		}
	}
	if opts.Output != output.Table {
		return output.PrintJSON(cmd.OutOrStdout(), made)
	}
	return printTables(cmd.OutOrStdout(), made, f.out)
}

// span reads the bounds of the arrivals.
func (f *flags) arrivalBounds() (account.Options, error) {
	var o account.Options
	for _, bound := range []struct {
		flag, text string
		to         *time.Time
	}{{"--from", f.from, &o.From}, {"--to", f.to, &o.To}} {
		if bound.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, bound.text)
		if err != nil {
			return o, exit.Errorf(exit.Usage, "%s %q is no time as 2026-12-03T10:00:00Z", bound.flag, bound.text)
		}
		*bound.to = at
	}
	if !o.From.IsZero() && !o.To.IsZero() && !o.From.Before(o.To) {
		return o, exit.Errorf(exit.Usage, "--from %s is not before --to %s", f.from, f.to)
	}
	return o, nil
}

// printTables writes the account for people.
func printTables(w io.Writer, a *account.Account, out string) error {
	tables := []struct {
		title string
		rows  output.Rows
	}{
		{"requests by route", routeRows(a)},
		{"mean time of late answers, ms", lateRows(a)},
		{"refusals that did not run, ms before they came", refusalRows(a)},
		{"attempts that were not answered", reasonRows(a)},
		{"prompts read in vain", wastedRows(a)},
		{"by second of arrival", secondRows(a)},
		{"pools", poolRows(a)},
	}
	fmt.Fprintf(w, "%s to %s\n", a.From.UTC().Format(time.RFC3339Nano), a.To.UTC().Format(time.RFC3339Nano))
	for _, t := range tables {
		if len(t.rows.Rows) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n%s\n", t.title)
		if err := t.rows.Print(w); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "\n%d lines, %.2f%% of all could not be read\n", a.Lines, 100*a.Unreadable)
	if out != "" {
		fmt.Fprintf(w, "written: %s and plots beside it\n", filepath.Join(out, account.Name+".json"))
	}
	return nil
}

func countCells(c *account.Counts) []string {
	return formatInts(c.Asked, c.InTime, c.Late, c.Refused, c.Failed, c.Left, c.NoEnd)
}

func formatInts(all ...int) []string {
	var out []string
	for _, n := range all {
		out = append(out, strconv.Itoa(n))
	}
	return out
}

func formatTenths(all ...float64) []string {
	var out []string
	for _, x := range all {
		out = append(out, strconv.FormatFloat(x, 'f', 1, 64))
	}
	return out
}

func routeRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "NO END", "CAME BACK", "SERVED THEN"}}
	for i := range a.Routes {
		r := &a.Routes[i]
		cells := append([]string{r.Name, r.Kind}, countCells(&r.Counts)...)
		rows.Add(append(cells, formatInts(r.CameBack, r.Served)...)...)
	}
	return rows
}

func lateRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "LATE", "RETURN", "QUEUE", "PREFILL", "RETRIES", "REST", "ONLY PAUSED"}}
	for i := range a.Routes {
		r := &a.Routes[i]
		if r.Late == 0 {
			continue
		}
		t := r.LateTime
		cells := append([]string{r.Name, strconv.Itoa(r.Late)}, formatTenths(t.Return, t.Queue, t.Prefill, t.Retries, t.Rest)...)
		rows.Add(append(cells, strconv.Itoa(t.Paused))...)
	}
	return rows
}

func refusalRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "REFUSALS", "P50", "P90", "MOST", "CAME BACK"}}
	for i := range a.Routes {
		r := &a.Routes[i]
		if w := r.Refusals; w.Count > 0 {
			cells := append([]string{r.Name, strconv.Itoa(w.Count)}, formatTenths(w.P50, w.P90, w.Max)...)
			rows.Add(append(cells, strconv.Itoa(w.Back))...)
		}
	}
	return rows
}

func reasonRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "TEAM", "COUNT", "OUTCOME", "REASON"}}
	for _, r := range a.Reasons {
		rows.Add(r.Route, r.Team, strconv.Itoa(r.Count), r.Outcome, r.Reason)
	}
	return rows
}

func wastedRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"CAUSE", "PROMPTS", "TOKENS"}}
	for _, v := range a.Vain {
		rows.Add(append([]string{v.Cause}, formatInts(v.Count, v.Tokens)...)...)
	}
	return rows
}

func secondRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"SECOND", "KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "NO END", "TOKENS IN VAIN"}}
	for i := range a.Seconds {
		s := &a.Seconds[i]
		cells := append([]string{strconv.Itoa(s.At), s.Kind}, countCells(&s.Counts)...)
		rows.Add(append(cells, strconv.Itoa(s.VainTokens))...)
	}
	return rows
}

func poolRows(a *account.Account) output.Rows {
	rows := output.Rows{Header: []string{"SECOND", "POOL", "PREFILL", "WORKING", "DECODE", "RUNNING", "MEMORY HELD", "QUEUED"}}
	for _, p := range a.Pools {
		cells := append([]string{strconv.FormatFloat(p.AtSeconds, 'f', 1, 64), p.Pool}, formatInts(p.Prefills, p.Working, p.Decodes, p.Running)...)
		rows.Add(append(cells, fmt.Sprintf("%.0f%%", 100*p.MemoryHeld), strconv.Itoa(p.Queued))...)
	}
	return rows
}
