// Package output prints results as a table or as JSON.
package output

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
)

// The output formats.
const (
	Table = "table"
	JSON  = "json"
)

// CheckFormat returns an error for an unknown format.
func CheckFormat(format string) error {
	if format == Table || format == JSON {
		return nil
	}
	return exit.Errorf(exit.Usage, "--output %q: must be %s or %s", format, Table, JSON)
}

// Rows is a table of rows with an optional header.
type Rows struct {
	Header []string
	Rows   [][]string
}

// Add appends a row.
func (r *Rows) Add(cells ...string) { r.Rows = append(r.Rows, cells) }

// Print writes value as JSON, or rows as a table.
func Print(w io.Writer, format string, value any, rows Rows) error {
	if format == JSON {
		return PrintJSON(w, value)
	}
	return rows.Print(w)
}

// PrintJSON writes value as indented JSON.
func PrintJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// Print writes the table with aligned columns.
func (r Rows) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Header) > 0 {
		if _, err := io.WriteString(tw, strings.Join(r.Header, "\t")+"\n"); err != nil {
			return err
		}
	}
	for _, row := range r.Rows {
		if _, err := io.WriteString(tw, strings.Join(row, "\t")+"\n"); err != nil {
			return err
		}
	}
	return tw.Flush()
}
