package fleetcmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// explainFromLogs prints what the log lines of the daemons show about a request.
func explainFromLogs(cmd *cobra.Command, opts *common.Options, args []string, path string) error {
	if args[0] != "request" {
		return exit.Errorf(exit.Usage, "--logs explains requests, not a %s", args[0])
	}
	var logs logstory.Logs
	if err := logs.ReadPath(path, cmd.InOrStdin()); err != nil {
		return err
	}
	timeline, err := logs.Explain(args[1])
	if err != nil {
		return fmt.Errorf("request %s in %d lines (%d unreadable): %w", args[1], len(logs.Lines), logs.Unreadable, err)
	}
	rows := output.Rows{Header: []string{"AT", "DAEMON", "EVENT", "TEXT"}}
	addLines(&rows, timeline.Own)
	if len(timeline.Beside) > 0 {
		rows.Add("", "", "", "related lines:")
		addLines(&rows, timeline.Beside)
	}
	if err := output.Print(cmd.OutOrStdout(), opts.Output, timeline, rows); err != nil {
		return err
	}
	if opts.Output != output.Table {
		return nil
	}
	for _, where := range timeline.Silent {
		fmt.Fprintf(cmd.OutOrStdout(), "silent: %s\n", where)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "cause: %s\n", timeline.Cause)
	return nil
}

func addLines(rows *output.Rows, lines []logstory.Line) {
	for _, l := range lines {
		rows.Add(l.At.UTC().Format(time.RFC3339Nano), l.Daemon, l.Event, l.Text())
	}
}
