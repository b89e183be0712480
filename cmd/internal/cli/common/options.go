// Package common holds what the commands share: the flags that say how to
// reach the daemons and how to print, and the checks of arguments.
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

// The environment variables that stand in for flags.
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
	// ChangeID is the id of a change that is sent again; empty makes a new one.
	ChangeID string
}

// OutputFlag adds the flag that every command has.
func (o *Options) OutputFlag(flags *pflag.FlagSet) {
	flags.StringVarP(&o.Output, "output", "o", output.Table, "format of the result: table or json")
}

// ConnectionFlags adds the flags of the commands that talk to daemons.
func (o *Options) ConnectionFlags(flags *pflag.FlagSet) {
	flags.StringSliceVar(&o.Operators, "operators", nil, "operators' addresses of daemons, host:port[,host:port] (or $"+EnvOperators+")")
	flags.StringVar(&o.Key, "key", "", "operator's key (better: $"+EnvKey+", which other users of the host can't see)")
	flags.StringVar(&o.CA, "ca", "", "PEM file with the authorities of the daemons; switches TLS on (or $"+EnvCA+")")
}

// ChangeFlag adds the flag of the commands that make changes.
func (o *Options) ChangeFlag(flags *pflag.FlagSet) {
	flags.StringVar(&o.ChangeID, "change-id", "", "id of the change, to send one again whose outcome is not known; default: a new id")
}

// Client returns a client to the daemons.
func (o *Options) Client() (*operator.Client, error) {
	return operator.New(operator.Config{
		Addresses: o.addresses(),
		Key:       flagOrEnv(o.Key, EnvKey),
		CAFile:    flagOrEnv(o.CA, EnvCA),
	})
}

// addresses returns the daemons to talk to.
func (o *Options) addresses() []string {
	if len(o.Operators) > 0 {
		return o.Operators
	}
	return splitList(os.Getenv(EnvOperators))
}

// Single refuses more than one address: for what is meant for one daemon.
func (o *Options) RequireOneAddress() error {
	if n := len(o.addresses()); n != 1 {
		return exit.Errorf(exit.Usage, "this is meant for one daemon: --operators must name one address, not %d", n)
	}
	return nil
}

func flagOrEnv(value, name string) string {
	if value != "" {
		return value
	}
	return os.Getenv(name)
}

// Author is the name that goes into the history of changes.
func Author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// Args gives a check of arguments the exit code for wrong usage.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return exit.Wrap(exit.Usage, check(cmd, args))
	}
}
