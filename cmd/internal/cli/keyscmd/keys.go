// Package keyscmd holds the commands that create keys and certificates.
package keyscmd

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/keys"
)

// Command returns the commands for keys and certificates.
func Command(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "keys",
		Short:   "Create keys and certificates",
		Long:    "Create certificates for daemons, and keys and key hashes for teams and operators.",
		Example: "  samphirequay keys init ./keys --daemon aktau-port-1 --daemon kuryk-1",
		Args:    common.Args(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(initCommand(opts), hashCommand(opts))
	return cmd
}

// initResult is the JSON result of init.
type initResult struct {
	Dir     string   `json:"dir"`
	Daemons []string `json:"daemons"`
	CA      string   `json:"ca"`
}

func initCommand(opts *common.Options) *cobra.Command {
	var daemons, hosts []string
	cmd := &cobra.Command{
		Use:   "init DIR",
		Short: "Create a CA and certificates for a trial fleet",
		Long: `Create, under DIR, the certificate of a certificate authority (CA), a certificate
and key for each --daemon, and one for the listeners that callers use (--host).
The CA's private key is discarded, so further certificates need a new init. For
trials and tests only: in production, issue the certificates from your own CA.`,
		Example: "  samphirequay keys init ./keys --daemon aktau-port-1 --daemon kuryk-1 --host 127.0.0.1",
		Args:    common.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(daemons) == 0 {
				return exit.Errorf(exit.Usage, "name at least one --daemon")
			}
			return runInit(cmd, opts, args[0], daemons, hosts)
		},
	}
	cmd.Flags().StringSliceVar(&daemons, "daemon", nil, "name of a daemon; may be repeated")
	cmd.Flags().StringSliceVar(&hosts, "host", []string{"127.0.0.1"}, "IP address or host name of the callers' listeners; may be repeated")
	return cmd
}

func runInit(cmd *cobra.Command, opts *common.Options, dir string, daemons, hosts []string) error {
	if _, err := os.Stat(keys.PeerFiles(dir, id.Daemon(daemons[0])).CA); err == nil {
		return exit.Errorf(exit.Failed, "%s already holds a CA; choose another folder", dir)
	}
	ca, err := keys.NewDevCA(time.Now())
	if err != nil {
		return err
	}
	names := make([]id.Daemon, len(daemons))
	for i, d := range daemons {
		names[i] = id.Daemon(d)
	}
	if err := ca.WriteFiles(dir, names, hosts...); err != nil {
		return err
	}
	answer := initResult{Dir: dir, Daemons: daemons, CA: keys.PeerFiles(dir, names[0]).CA}
	rows := output.Rows{}
	rows.Add(fmt.Sprintf("dir=%s ca=%s daemons=%s", answer.Dir, answer.CA, strings.Join(daemons, ",")))
	return output.Print(cmd.OutOrStdout(), opts.Output, answer, rows)
}

// hashResult is the JSON result of hash.
type hashResult struct {
	// Key is set if the command generated it.
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

func hashCommand(opts *common.Options) *cobra.Command {
	var generate bool
	cmd := &cobra.Command{
		Use:   "hash",
		Short: "Hash a bearer key for the configuration or the settings",
		Long: `Read a bearer key from the first line of the standard input and print its
SHA-256 hash. With --generate, create a new random key and print both. Only the
hash goes into the configuration.`,
		Example: `  samphirequay keys hash < key.txt
  samphirequay keys hash --generate --output json`,
		Args: common.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := hashKey(cmd, generate)
			if err != nil {
				return err
			}
			rows := output.Rows{}
			if answer.Key != "" {
				rows.Add("key=" + answer.Key)
			}
			rows.Add("hash=" + answer.Hash)
			return output.Print(cmd.OutOrStdout(), opts.Output, answer, rows)
		},
	}
	cmd.Flags().BoolVar(&generate, "generate", false, "generate a new key")
	return cmd
}

func hashKey(cmd *cobra.Command, generate bool) (hashResult, error) {
	if generate {
		key := rand.Text()
		return hashResult{Key: key, Hash: keys.Hash(key)}, nil
	}
	line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		if err == nil {
			err = fmt.Errorf("the first line is empty")
		}
		return hashResult{}, exit.Errorf(exit.Usage, "no key on the standard input: %w", err)
	}
	return hashResult{Hash: keys.Hash(key)}, nil
}
