package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	// File is the name of the file.
	File string
	// Line and Column count from 1; columns are bytes. Both are 0 when the file
	// could not be read.
	Line, Column int
	// Field leads to the field, as in "seed_peers[2].address"; empty for the whole file.
	Field string
	// Message says what is wrong.
	Message string
}

// Error gives the fault as FILE:LINE:COLUMN: FIELD: MESSAGE.
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

// Faults are all the things wrong with a file; none means that it is right.
type Faults []Fault

// Error gives one line for each fault.
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
