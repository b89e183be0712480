package standincmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/standin"
)

func engineCommand(_ *common.Options) *cobra.Command {
	var listen string
	cfg := standin.EngineConfig{}
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run one model engine",
		Long:    "Run one model engine. Its answers are derived from the prompt, so that load can check them.",
		Example: "  samphirequay standin engine --listen 127.0.0.1:7301 --name engine-1 --role decode",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStandIn(cmd, listen, standin.NewEngine(cfg))
		},
	}
	listenFlag(cmd, &listen)
	fs := cmd.Flags()
	fs.StringVar(&cfg.Name, "name", "engine-1", "name of the endpoint")
	fs.StringVar(&cfg.Domain, "domain", "here", "failure domain")
	fs.StringVar(&cfg.Model, "model", "document-summariser", "model that is loaded at the start")
	fs.StringVar(&cfg.Role, "role", standin.RolePrefill, "prefill or decode")
	fs.IntVar(&cfg.Slots, "slots", standin.DefaultSlots, "maximum requests that it decodes at once")
	fs.Float64Var(&cfg.PrefillTokensPerSecond, "prefill-rate", standin.DefaultPrefillTokensPerSecond, "prompt tokens per second")
	fs.Float64Var(&cfg.DecodeTokenMS, "decode-token-ms", standin.DefaultDecodeTokenMS, "time per output token, in milliseconds")
	fs.BoolVar(&cfg.ChecksFencing, "checks-fencing", false, "reject orders with an old fencing number")
	return cmd
}

func plainCommand(_ *common.Options) *cobra.Command {
	var listen string
	cfg := standin.PlainConfig{}
	cmd := &cobra.Command{
		Use:     "plain",
		Short:   "Run one plain service",
		Long:    "Run one plain service, which counts the runs of each idempotency key.",
		Example: "  samphirequay standin plain --listen 127.0.0.1:7302 --name order-desk-1",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStandIn(cmd, listen, standin.NewPlainService(cfg))
		},
	}
	listenFlag(cmd, &listen)
	fs := cmd.Flags()
	fs.StringVar(&cfg.Name, "name", "plain-1", "name of the endpoint")
	fs.StringVar(&cfg.Domain, "domain", "here", "failure domain")
	fs.StringVar(&cfg.Service, "service", "order-desk", "service that it serves")
	fs.IntVar(&cfg.Slots, "slots", standin.DefaultSlots, "maximum concurrent calls")
	fs.DurationVar(&cfg.WorkTime, "work-time", 10*time.Millisecond, "duration of a call")
	return cmd
}

func tableCommand(_ *common.Options) *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "table",
		Short:   "Run the table service",
		Long:    "Run the transactional table service at its default rates.",
		Example: "  samphirequay standin table --listen 127.0.0.1:7303",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStandIn(cmd, listen, standin.NewTable(standin.TableConfig{}))
		},
	}
	listenFlag(cmd, &listen)
	return cmd
}
