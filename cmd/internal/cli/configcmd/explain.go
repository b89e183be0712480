package configcmd

import (
	"reflect"
	"strings"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/core/live"
)

// fieldHelp describes one field of the live configuration.
type fieldHelp struct {
	Field   string `json:"field"`
	Type    string `json:"type"`
	Default string `json:"default"`
	Help    string `json:"help"`
}

func explainCommand(opts *common.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain [KIND[.FIELD]]",
		Short: "Explain the fields of the live configuration",
		Long:  "Explain the fields of the live configuration: their type, default and meaning. No daemon is contacted.",
		Example: `  samphirequay config explain service
  samphirequay config explain service.waste_weight`,
		Args: common.Args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := ""
			if len(args) == 1 {
				path = args[0]
			}
			fields, err := explain(path)
			if err != nil {
				return err
			}
			rows := output.Rows{Header: []string{"FIELD", "TYPE", "DEFAULT", "MEANING"}}
			for _, f := range fields {
				rows.Add(f.Field, f.Type, f.Default, f.Help)
			}
			return output.Print(cmd.OutOrStdout(), opts.Output, fields, rows)
		},
	}
}

// explain lists the fields under a path; the empty path lists all.
func explain(path string) ([]fieldHelp, error) {
	var out []fieldHelp
	for _, kind := range document.Kinds {
		for _, f := range kindFields(kind) {
			if path == "" || f.Field == path || strings.HasPrefix(f.Field, path+".") {
				out = append(out, f)
			}
		}
	}
	if len(out) == 0 {
		return nil, exit.Errorf(exit.Usage, "there is no field %q; kinds are %s", path, document.KindNames())
	}
	return out, nil
}

// kindFields lists the fields of a kind in the order of its type. The defaults
// are those that live.Normalize sets.
func kindFields(kind live.Kind) []fieldHelp {
	value, err := document.New(kind)
	if err != nil {
		return nil
	}
	t := reflect.TypeOf(value).Elem()
	defaults := reflect.ValueOf(normalized(kind))
	var out []fieldHelp
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		field := string(kind) + "." + name
		out = append(out, fieldHelp{
			Field: field, Type: typeName(t.Field(i).Type),
			Default: defaultText(defaults.Field(i)), Help: meanings[field],
		})
	}
	return out
}

// normalized returns an item of a kind with all defaults filled in. The pool has
// a model while it is normalized, since only pools with a model get defaults for
// engines.
func normalized(kind live.Kind) any {
	doc := live.Normalize(&live.Document{
		Teams: make([]live.Team, 1), Services: make([]live.Service, 1), Endpoints: make([]live.Endpoint, 1),
		Pools: []live.Pool{{Model: "any"}}, Links: make([]live.Link, 1),
	})
	doc.Pools[0].Model = ""
	switch kind {
	case live.KindTeam:
		return doc.Teams[0]
	case live.KindService:
		return doc.Services[0]
	case live.KindPool:
		return doc.Pools[0]
	case live.KindEndpoint:
		return doc.Endpoints[0]
	default:
		return doc.Links[0]
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Map:
		return "labels"
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	case reflect.Bool:
		return "true/false"
	case reflect.String:
		return "text"
	default:
		return "number"
	}
}

func defaultText(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Bool {
		return "-"
	}
	return compactJSON(v.Interface())
}
