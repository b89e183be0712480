// Package reportcmd holds the command that shows from logs where requests were
// lost and where their time was spent.
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

// flags are the flags of the command.
type flags struct {
	logs, from, to, out string
}

// Command returns the command that reports on logs.
func Command(opts *common.Options) *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Summarize from logs the outcomes of the requests of a period",
		Long: `Read the daemons' log lines and summarize the requests by route, outcome and
reason. Also show where late answers spent their time, how long requests waited
before they were refused and whether their callers retried, the prompts whose
prefill was wasted, by cause, and, for each second, the roles of the engines and
their memory.

A request that its caller retried counts once. With --out, the results are
written as JSON, with plots as SVG. The table ends with the share of the log
lines that could not be read.`,
		Example: `  samphirequay report --logs /var/log/samphirequay
  samphirequay report --logs day.log --from 2026-12-03T10:00:00Z --to 2026-12-03T10:05:00Z --out account`,
		Args: common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, opts, &f) },
	}
	cmd.Flags().StringVar(&f.logs, "logs", "", "log lines: a file, a folder, or - for standard input (required)")
	cmd.Flags().StringVar(&f.from, "from", "", "leave out requests that arrived before this time, RFC 3339")
	cmd.Flags().StringVar(&f.to, "to", "", "leave out requests that arrived at or after this time, RFC 3339")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for the results as JSON, with plots")
	return cmd
}

func run(cmd *cobra.Command, opts *common.Options, f *flags) error {
	if f.logs == "" {
		return exit.Errorf(exit.Usage, "--logs is required: a file, a folder, or - for standard input")
	}
	options, err := f.arrivalBounds()
	if err != nil {
		return err
	}
	var logs logstory.Logs
	if err := logs.ReadPath(f.logs, cmd.InOrStdin()); err != nil {
		return err
	}
	result, err := account.Summarize(&logs, options)
	if err != nil {
		return fmt.Errorf("%s: %d lines, %d unreadable: %w", f.logs, len(logs.Lines), logs.Unreadable, err)
	}
	if f.out != "" {
		if err := result.Report().Write(f.out); err != nil {
			return err
		}
	}
	if opts.Output != output.Table {
		return output.PrintJSON(cmd.OutOrStdout(), result)
	}
	return printTables(cmd.OutOrStdout(), result, f.out)
}

// arrivalBounds parses --from and --to.
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
			return o, exit.Errorf(exit.Usage, "%s %q is not an RFC 3339 time such as 2026-12-03T10:00:00Z", bound.flag, bound.text)
		}
		*bound.to = at
	}
	if !o.From.IsZero() && !o.To.IsZero() && !o.From.Before(o.To) {
		return o, exit.Errorf(exit.Usage, "--from %s is not before --to %s", f.from, f.to)
	}
	return o, nil
}

// printTables writes the results as tables.
func printTables(w io.Writer, a *account.Summary, out string) error {
	tables := []struct {
		title string
		rows  output.Rows
	}{
		{"requests by route", routeRows(a)},
		{"mean time of late answers by phase, ms", lateRows(a)},
		{"refusals that did not run, ms until the refusal", refusalRows(a)},
		{"attempts that were not answered", reasonRows(a)},
		{"wasted prefills", wastedRows(a)},
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
		fmt.Fprintf(w, "written: %s and its plots\n", filepath.Join(out, account.Name+".json"))
	}
	return nil
}

func countCells(c *account.Counts) []string {
	return formatInts(c.Requests, c.InTime, c.Late, c.Refused, c.Failed, c.Disconnected, c.NoEnd)
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

func routeRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "NO END", "CAME BACK", "SERVED THEN"}}
	for i := range a.Routes {
		r := &a.Routes[i]
		cells := append([]string{r.Name, r.Kind}, countCells(&r.Counts)...)
		rows.Add(append(cells, formatInts(r.Retried, r.RetriedAnswered)...)...)
	}
	return rows
}

func lateRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "LATE", "RETURN", "QUEUE", "PREFILL", "RETRIES", "REST", "ONLY PAUSED"}}
	for i := range a.Routes {
		r := &a.Routes[i]
		if r.Late == 0 {
			continue
		}
		t := r.LateTime
		cells := append([]string{r.Name, strconv.Itoa(r.Late)}, formatTenths(t.RetryDelay, t.Queue, t.Prefill, t.Retries, t.Rest)...)
		rows.Add(append(cells, strconv.Itoa(t.Paused))...)
	}
	return rows
}

func refusalRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "REFUSALS", "P50", "P90", "MOST", "CAME BACK"}}
	for i := range a.Routes {
		r := &a.Routes[i]
		if w := r.Refusals; w.Count > 0 {
			cells := append([]string{r.Name, strconv.Itoa(w.Count)}, formatTenths(w.P50, w.P90, w.Max)...)
			rows.Add(append(cells, strconv.Itoa(w.Retried))...)
		}
	}
	return rows
}

func reasonRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"ROUTE", "TEAM", "COUNT", "OUTCOME", "REASON"}}
	for _, r := range a.Reasons {
		rows.Add(r.Route, r.Team, strconv.Itoa(r.Count), r.Outcome, r.Reason)
	}
	return rows
}

func wastedRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"CAUSE", "PROMPTS", "TOKENS"}}
	for _, v := range a.Wasted {
		rows.Add(append([]string{v.Cause}, formatInts(v.Count, v.Tokens)...)...)
	}
	return rows
}

func secondRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"SECOND", "KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "NO END", "TOKENS IN VAIN"}}
	for i := range a.Seconds {
		s := &a.Seconds[i]
		cells := append([]string{strconv.Itoa(s.At), s.Kind}, countCells(&s.Counts)...)
		rows.Add(append(cells, strconv.Itoa(s.WastedTokens))...)
	}
	return rows
}

func poolRows(a *account.Summary) output.Rows {
	rows := output.Rows{Header: []string{"SECOND", "POOL", "PREFILL", "WORKING", "DECODE", "RUNNING", "MEMORY HELD", "QUEUED"}}
	for _, p := range a.Pools {
		cells := append([]string{strconv.FormatFloat(p.AtSeconds, 'f', 1, 64), p.Pool}, formatInts(p.Prefills, p.PrefillsWorking, p.Decodes, p.DecodesRunning)...)
		rows.Add(append(cells, fmt.Sprintf("%.0f%%", 100*p.MemoryHeld), strconv.Itoa(p.Queued))...)
	}
	return rows
}
