// Package exit defines the exit codes of the commands and errors with an exit
// code.
package exit

import (
	"errors"
	"fmt"
)

// The exit codes.
const (
	// OK: the command succeeded.
	OK = 0
	// Failed: the command failed for a reason that has no code of its own.
	Failed = 1
	// Usage: the command line was wrong; the command did nothing.
	Usage = 2
	// Conflict: the configuration was changed by another user first.
	Conflict = 3
	// Unavailable: no daemon could be reached, or the daemon's store could not.
	Unavailable = 4
	// Faults: a check or an experiment completed and found faults.
	Faults = 5
)

// Help describes the exit codes at the end of the root command's help.
const Help = `Exit codes:
  0  success
  1  failed
  2  wrong usage; the command did nothing
  3  conflict: the configuration was changed in the meantime
  4  unavailable: no daemon could be reached, or the daemon's store could not
  5  a check found faults`

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an error with an exit code.
func Errorf(code int, format string, args ...any) error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// Wrap returns err with an exit code, or nil if err is nil.
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
