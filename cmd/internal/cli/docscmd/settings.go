package docscmd

import (
	"path/filepath"
	"reflect"
	"strings"

	"github.com/samphirequay/samphirequay/daemon/settings"
)

// settingsPage describes every field of the start-up settings.
func settingsPage(source string) (string, error) {
	docs, err := sourceDocs(filepath.Join(source, "daemon", "settings"))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# Settings of a daemon\n\n" + docs["Settings"].text + "\n\n" +
		"A file of JSON with comments, read strictly: `samphirequayd --settings FILE --check` checks it. " +
		"An unknown field is a fault. [examples/daemon.json](../../examples/daemon.json) shows every field.\n\n")
	table := &fieldTable{docs: docs, bounds: func(_ string, f fieldDoc) string { return tagBounds(f.validate) }}
	table.walk(reflect.ValueOf(*settings.Defaults()), "")
	table.print(&b)
	return b.String(), nil
}

// tagBounds describes a validate tag in words.
func tagBounds(tag string) string {
	var words []string
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			words = append(words, "required")
		case "min":
			words = append(words, "from "+value)
		case "max":
			words = append(words, "to "+value)
		case "len":
			words = append(words, value+" long")
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(value, " ", ", "))
		case "dive":
			words = append(words, "each:")
		case "hexadecimal":
			words = append(words, "hex digits")
		case "lowercase":
			words = append(words, "lower case")
		case "printascii":
			words = append(words, "printable ASCII")
		case "excludesall":
			words = append(words, "none of `"+value+"`")
		}
	}
	text := strings.TrimSuffix(strings.Join(words, ", "), ", each:")
	return strings.ReplaceAll(text, "each:, ", "each ")
}
