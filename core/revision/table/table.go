// Package table holds the messages between the core's state automata and the
// platform's transactional table: requests as actions, replies as events. The
// daemon's adapter turns them into calls.
package table

import "time"

// Row is one row; Version 0 means that it does not exist.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
}

// Condition guards a transaction: the row must have this version; 0 means
// that it must not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes a row, or deletes it.
type Put struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all puts if all conditions hold, else none.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
}

// Status tells what is known about a call's outcome.
type Status uint8

const (
	// Done: the reply came.
	Done Status = iota + 1
	// NotRun: the call certainly had no effect and never will.
	NotRun
	// Unknown: the call may have had, or may yet have, its effect.
	Unknown
)

// String names the status.
func (s Status) String() string {
	switch s {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Request asks the table for one call: a read of Keys, or the Transaction.
type Request struct {
	// Seq pairs the reply with the request, within one automaton.
	Seq uint64
	// Keys to read; empty for a transaction.
	Keys []string
	// Transaction to run; nil for a read.
	Transaction *Transaction
}

// Reply answers a Request.
type Reply struct {
	Seq    uint64
	Status Status
	// Rows answer a read, in the order of its keys; rows that do not exist
	// have version 0. The rows may be from an earlier state of the table.
	Rows []Row
	// Applied tells whether the transaction's conditions held.
	Applied bool
	// Failed lists the keys whose condition did not hold.
	Failed []string
	// Versions are those of the written rows, in the order of the puts.
	Versions []uint64
	// Clock is the table's own steady clock at the answer; 0 if it tells none.
	Clock time.Duration
}

// Row returns the row of key, with version 0 when it is not in the reply.
func (r *Reply) Row(key string) Row {
	for _, row := range r.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// FailedOn tells whether the condition on key did not hold.
func (r *Reply) FailedOn(key string) bool {
	for _, k := range r.Failed {
		if k == key {
			return true
		}
	}
	return false
}
