package itemcmd

import (
	"strings"

	"github.com/spf13/cobra"
	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Label returns the command that sets and removes labels.
func Label(opts *common.Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "label KIND NAME key=value... key-...",
		Short: "Set and remove labels of an item",
		Long: `Set labels with key=value and remove them with key-. All are applied as one
change. Operators control the system through labels: a drain, a canary, a
rollout or the lift of a quarantine is a change of labels.`,
		Example: `  samphirequay label endpoint summariser-03 samphirequay/leaving=true
  samphirequay label endpoint summariser-03 samphirequay/leaving-`,
		Args: common.Args(cobra.MinimumNArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			labels, err := parseLabels(args[2:])
			if err != nil {
				return err
			}
			return change(cmd, opts, opapi.Op{Action: revision.ActionLabel, Kind: kind, Name: args[1], Labels: labels})
		},
	}
	opts.ConnectionFlags(cmd.Flags())
	opts.ChangeFlag(cmd.Flags())
	return cmd
}

func parseKind(text string) (live.Kind, error) {
	kind := live.Kind(strings.TrimSuffix(text, "s"))
	if _, err := document.New(kind); err != nil {
		return "", exit.Errorf(exit.Usage, "unknown kind %q: must be one of %s", text, document.KindNames())
	}
	if kind == live.KindLink {
		return "", exit.Errorf(exit.Usage, "a link has no labels")
	}
	return kind, nil
}

// parseLabels parses key=value and key- arguments; an empty value in the result
// removes the label.
func parseLabels(args []string) (live.Labels, error) {
	labels := live.Labels{}
	for _, arg := range args {
		key, value, err := parseLabel(arg)
		if err != nil {
			return nil, err
		}
		if _, duplicate := labels[key]; duplicate {
			return nil, exit.Errorf(exit.Usage, "label %q is given twice", key)
		}
		labels[key] = value
	}
	return labels, nil
}

func parseLabel(arg string) (key, value string, err error) {
	key, value, set := strings.Cut(arg, "=")
	if !set {
		trimmed, remove := strings.CutSuffix(arg, "-")
		if !remove {
			return "", "", exit.Errorf(exit.Usage, "label %q: want key=value, or key- to remove it", arg)
		}
		key = trimmed
	}
	if set && value == "" {
		return "", "", exit.Errorf(exit.Usage, "label %q: empty value; to remove the label write %s-", arg, key)
	}
	if faults := validation.IsQualifiedName(key); len(faults) > 0 {
		return "", "", exit.Errorf(exit.Usage, "label key %q: %s", key, faults[0])
	}
	if faults := validation.IsValidLabelValue(value); len(faults) > 0 {
		return "", "", exit.Errorf(exit.Usage, "label value %q: %s", value, faults[0])
	}
	return key, value, nil
}
