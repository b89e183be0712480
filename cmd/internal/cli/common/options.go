// Package common holds code that the commands share: the flags for the
// connection to the daemons and for the output format, and argument checks.
package common

import (
	"os"
	"os/user"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/operator"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
)

// Environment variables that replace flags that are not set.
const (
	EnvOperators = "SAMPHIREQUAY_OPERATORS"
	EnvKey       = "SAMPHIREQUAY_OPERATOR_KEY"
	EnvCA        = "SAMPHIREQUAY_CA"
)

// Options are the values of the persistent flags.
type Options struct {
	Operators []string
	Key       string
	CA        string
	Output    string
	// ChangeID is the id of a change that is sent again; if empty, a new id is made.
	ChangeID string
}

// OutputFlag adds the flag for the output format, which every command has.
func (o *Options) OutputFlag(flags *pflag.FlagSet) {
	flags.StringVarP(&o.Output, "output", "o", output.Table, "format of the result: table or json")
}

// ConnectionFlags adds the flags of the commands that connect to daemons.
func (o *Options) ConnectionFlags(flags *pflag.FlagSet) {
	flags.StringSliceVar(&o.Operators, "operators", nil, "operators' addresses of daemons, host:port[,host:port] (or $"+EnvOperators+")")
	flags.StringVar(&o.Key, "key", "", "operator key (better: $"+EnvKey+", which other users of the host can't see)")
	flags.StringVar(&o.CA, "ca", "", "PEM file with the CA certificates of the daemons; enables TLS (or $"+EnvCA+")")
}

// ChangeFlag adds the flag of the commands that make changes.
func (o *Options) ChangeFlag(flags *pflag.FlagSet) {
	flags.StringVar(&o.ChangeID, "change-id", "", "id of the change, to resend a change whose outcome is not known; default: a new id")
}

// Client returns a client of the daemons.
func (o *Options) Client() (*operator.Client, error) {
	return operator.New(operator.Config{
		Addresses: o.addresses(),
		Key:       flagOrEnv(o.Key, EnvKey),
		CAFile:    flagOrEnv(o.CA, EnvCA),
	})
}

// addresses returns the addresses of the daemons, from the flag or the environment.
func (o *Options) addresses() []string {
	if len(o.Operators) > 0 {
		return o.Operators
	}
	return splitList(os.Getenv(EnvOperators))
}

// RequireOneAddress returns an error unless exactly one address is given, for
// commands that work on one daemon.
func (o *Options) RequireOneAddress() error {
	if n := len(o.addresses()); n != 1 {
		return exit.Errorf(exit.Usage, "this is meant for one daemon: --operators must name one address, not %d", n)
	}
	return nil
}

// flagOrEnv returns a flag's value, or the environment variable's if it is empty.
func flagOrEnv(value, name string) string {
	if value != "" {
		return value
	}
	return os.Getenv(name)
}

// Author returns the user name that the history of changes records.
func Author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// Args wraps an argument check so that its errors have the exit code for wrong
// usage.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return exit.Wrap(exit.Usage, check(cmd, args))
	}
}
