// Package table defines the messages between the state machines of the core and the
// platform's transactional table: requests and replies. The daemon's adapter
// performs the requests as calls to the table.
package table

import "time"

// Row is one row; Version 0 means that the row does not exist. Versions are ordered
// across the eras of a store that comes back from older copies (VersionIn).
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

// Put writes a row, or deletes it if Delete is set.
type Put struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all puts if all conditions hold, otherwise none.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
}

// Status is what is known about the outcome of a call.
type Status uint8

const (
	// Done: the table has replied.
	Done Status = iota + 1
	// NotRun: the call certainly had no effect and will have none.
	NotRun
	// Unknown: the call may have taken effect, or may still do so.
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

// Request is one call to the table: a read of Keys, or a Transaction.
type Request struct {
	// Seq matches the reply to the request, within one state machine.
	Seq uint64
	// Keys are the keys to read; empty for a transaction.
	Keys []string
	// Transaction is the transaction to run; nil for a read.
	Transaction *Transaction
}

// Reply is the reply to a Request.
type Reply struct {
	Seq    uint64
	Status Status
	// Rows are the rows of a read, in the order of its keys; rows that do not
	// exist have version 0. The rows may be from an earlier state of the table.
	Rows []Row
	// Applied reports whether the transaction's conditions held.
	Applied bool
	// Failed lists the keys whose conditions did not hold.
	Failed []string
	// Versions are the versions of the written rows, in the order of the puts.
	Versions []uint64
	// Era is the table's era at the reply; 0 if it names none.
	Era uint64
	// Clock is the table's own monotonic clock at the time of the reply; 0 if the
	// table reports none.
	Clock time.Duration
}

// Row returns the row of key, with version 0 if it is not in the reply.
func (r *Reply) Row(key string) Row {
	for _, row := range r.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// FailedOn reports whether the condition on key did not hold.
func (r *Reply) FailedOn(key string) bool {
	for _, k := range r.Failed {
		if k == key {
			return true
		}
	}
	return false
}
