// Package standincmd holds the commands that run stand-ins of the platform and
// of the endpoints as processes, for trials.
package standincmd

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/strict"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// Command returns the commands that run stand-ins.
func Command(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run small stand-ins of the platform, for trials",
		Long: `Run small stand-ins of the platform and of the endpoints in this process, until
it is interrupted. docs/PLATFORM.md describes their interfaces; a POST to
/control sets faults.`,
		Example: "  samphirequay standin platform --site bunker --base-port 7200",
		Args:    common.Args(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(platformCommand(opts), engineCommand(opts), plainCommand(opts), tableCommand(opts))
	return cmd
}

// Site returns the configuration of the stand-ins of a named site.
func Site(name string) (standin.PlatformConfig, error) {
	switch name {
	case "bunker":
		return standin.Bunker(), nil
	case "companeros":
		return standin.Companeros(), nil
	default:
		return standin.PlatformConfig{}, exit.Errorf(exit.Usage, "unknown site %q: must be bunker or companeros", name)
	}
}

func platformCommand(opts *common.Options) *cobra.Command {
	var site, host, document, hostList string
	var basePort int
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run all stand-ins of a site",
		Long: `Run the table service, the object store, the host list, the weight store, the
engines and the plain services of a site, each on its own port. The addresses
are printed as JSON. --document writes a matching live configuration, without
teams, for "samphirequay config apply".`,
		Example: "  samphirequay standin platform --site companeros --base-port 7200 --document fleet.json",
		Args:    common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := Site(site)
			if err != nil {
				return err
			}
			cfg.Host = host
			cfg.BasePort = basePort
			if cfg.Hosts, err = readHosts(cmd, hostList); err != nil {
				return err
			}
			return runPlatform(cmd, cfg, document)
		},
	}
	cmd.Flags().StringVar(&site, "site", "bunker", "bunker or companeros")
	cmd.Flags().StringVar(&host, "host", "127.0.0.1", "IP address to listen on")
	cmd.Flags().IntVar(&basePort, "base-port", 0, "first port; the others follow; 0 selects free ports")
	cmd.Flags().StringVar(&hostList, "host-list", "", "file with the initial host list, JSON; default: none")
	cmd.Flags().StringVar(&document, "document", "", "file to write the matching live configuration to")
	return cmd
}

// readHosts reads the initial host list; without a file it is empty.
func readHosts(cmd *cobra.Command, path string) ([]wire.Host, error) {
	if path == "" {
		return nil, nil
	}
	text, err := common.ReadFile(cmd, path)
	if err != nil {
		return nil, err
	}
	var list wire.HostList
	if err := strict.Decode(path, text, &list); err != nil {
		return nil, exit.Wrap(exit.Faults, err)
	}
	return list.Hosts, nil
}

func runPlatform(cmd *cobra.Command, cfg standin.PlatformConfig, document string) error {
	platform, err := standin.StartPlatform(cfg)
	if err != nil {
		return err
	}
	defer platform.Close()
	if document != "" {
		if err := writeDocument(document, standin.Document(cfg, platform.Addresses())); err != nil {
			return err
		}
	}
	if err := output.PrintJSON(cmd.OutOrStdout(), platform.Addresses()); err != nil {
		return err
	}
	return waitForInterrupt(cmd.Context())
}

func writeDocument(path string, doc live.Document) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := output.PrintJSON(f, doc); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// waitForInterrupt waits for an interrupt, which is the normal end and no error.
func waitForInterrupt(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// starter is a stand-in that can be started.
type starter interface {
	Start(addr string) (*standin.Server, error)
}

// runStandIn runs one stand-in until an interrupt.
func runStandIn(cmd *cobra.Command, listen string, s starter) error {
	server, err := s.Start(listen)
	if err != nil {
		return err
	}
	defer server.Close()
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "listen=%s\n", server.Addr()); err != nil {
		return err
	}
	return waitForInterrupt(cmd.Context())
}

func listenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "host:port to listen on; port 0 selects a free port")
}
