// Package exit gives the exit codes of the commands and the errors that carry
// them.
package exit

import (
	"errors"
	"fmt"
)

// The exit codes.
const (
	// OK: the command did what was asked.
	OK = 0
	// Failed: it did not.
	Failed = 1
	// Usage: the command line was wrong; nothing was tried.
	Usage = 2
	// Conflict: somebody else changed the configuration first.
	Conflict = 3
	// Unavailable: no daemon, or not the store behind it, could be reached.
	Unavailable = 4
	// Faults: a check or an experiment ran and found faults.
	Faults = 5
)

// Help explains the exit codes; it stands at the end of the root command's help.
const Help = `Exit codes:
  0  done
  1  failed
  2  wrong usage; nothing was tried
  3  conflict: the configuration changed meanwhile
  4  unavailable: no daemon, or not the store behind it, could be reached
  5  a check found faults`

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap gives the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an error with an exit code.
func Errorf(code int, format string, args ...any) error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// Wrap gives an error an exit code; nil stays nil.
func Wrap(code int, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Err: err}
}

// Code returns the exit code of an error.
func Code(err error) int {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Failed
}
