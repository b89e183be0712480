package revision

import (
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Result says how a proposal ended.
type Result uint8

const (
	// Accepted: the change is in force from Outcome.Revision on.
	Accepted Result = iota + 1
	// Conflict: the head had moved past the change's Expect; not run.
	Conflict
	// Rejected: the change has faults; not run.
	Rejected
	// Unavailable: the store could not be reached in time; not run.
	Unavailable
	// Unresolved: the change may have been accepted; ask again under the same id.
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

// Rival is an accepted change that a proposal ran into.
type ConflictingChange struct {
	Revision uint64
	ID       string
	Author   string
	// Overlap names the items that both touch, as "kind/name".
	Overlap []string
}

// Outcome ends a proposal.
type Outcome struct {
	Result Result
	// Revision at which the change was accepted; else the head it was held against.
	Revision uint64
	// Record is set for an acceptance that this proposer saw itself.
	Record *Record
	// Rivals tell, for a Conflict, what was accepted since Expect, oldest
	// first; bounded to the newest.
	Rivals []ConflictingChange
	// Faults tell why the change was rejected.
	Faults []live.Fault
}

// ProposerAction is one thing to do for a Proposer: call the table, or tell
// the operator the outcome.
type ProposerAction struct {
	Request *table.Request
	Outcome *Outcome
}
