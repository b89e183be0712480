package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// File is the name of the file.
	File string
	// Line and Column count from 1; columns are bytes. Both are 0 when the file
	// could not be read.
	Line, Column int
	// Field is the path of the field, such as "seed_peers[2].address"; empty for
	// the whole file.
	Field string
	// Message describes the error.
	Message string
}

// Error formats the fault as FILE:LINE:COLUMN: FIELD: MESSAGE, without the
// parts that are not set.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults are all errors in a file; an empty list means that the file is valid.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
