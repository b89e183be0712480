package revision

import (
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Result is the result of a proposal.
type Result uint8

const (
	// Accepted: the change is in force from Outcome.Revision on.
	Accepted Result = iota + 1
	// Conflict: the head is newer than the change's Expect; not run.
	Conflict
	// Rejected: the change has faults; not run.
	Rejected
	// Unavailable: the store could not be reached in time; not run.
	Unavailable
	// Unresolved: the change may have been accepted; propose it again under the same id.
	Unresolved
)

// String names the result.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Rejected:
		return "rejected"
	case Unavailable:
		return "unavailable"
	case Unresolved:
		return "unresolved"
	default:
		return "invalid"
	}
}

// ConflictingChange is a change that was accepted after the Expect of a proposal.
type ConflictingChange struct {
	Revision uint64
	ID       string
	Author   string
	// Overlap lists the items that both changes modify, as "kind/name".
	Overlap []string
}

// Outcome is the outcome of a proposal.
type Outcome struct {
	Result Result
	// Revision at which the change was accepted; otherwise the last head read.
	Revision uint64
	// Record is set if this proposer's own commit was confirmed.
	Record *Record
	// Conflicts lists, for a Conflict, the changes accepted since Expect, oldest
	// first and at most the newest ProposerConfig.Batch.
	Conflicts []ConflictingChange
	// Faults lists why the change was rejected.
	Faults []live.Fault
}

// ProposerAction is an action that the caller performs for a Proposer: send a
// request to the table, or return the outcome to the operator.
type ProposerAction struct {
	Request *table.Request
	Outcome *Outcome
}
