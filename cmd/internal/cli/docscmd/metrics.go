package docscmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/standin"
)

// metricsPage lists the metrics that a running daemon declares.
func metricsPage(ctx context.Context) (string, error) {
	f, err := fleet.Start(ctx, fleet.Config{Sites: []standin.PlatformConfig{standin.Bunker()}})
	if err != nil {
		return "", eris.Wrap(err, "start a daemon")
	}
	defer f.Close()
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach daemon serves them as JSON under `/debug/vars` of its `listen.debug` address. " +
		"All count from the start of the process. A counter map has a count for each key; a latency has `count`, `mean`, `p50`, `p95`, `p99` and `max`. " +
		"For the responses to alarms, see [the operators' handbook](../OPERATORS.md#alarms).\n\n" +
		"| metric | type | unit | meaning |\n|---|---|---|---|\n")
	for _, d := range f.Daemon(0).Metrics().Describe() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Type, d.Unit, tableCell(d.Help))
	}
	return b.String(), nil
}
