package claim

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// opKind is the kind of change that an op makes to its row.
type opKind uint8

const (
	opBegin opKind = iota + 1
	opFinish
	opRelease
)

// phase is what an op waits for.
type phase uint8

const (
	// phaseQueued: an earlier op of the same row is in progress.
	phaseQueued phase = iota
	// phaseObject: the answer's body is being stored.
	phaseObject
	// phaseWrite: the op is in the queue for the next transaction.
	phaseWrite
	// phaseWriting: its transaction is in flight.
	phaseWriting
	// phaseRead: the op is in the queue for the next read.
	phaseRead
	// phaseReading: its read is in flight.
	phaseReading
	// phaseReadDelay: the op waits before it reads again.
	phaseReadDelay
	// phaseDone: the op has ended.
	phaseDone
)

// op is one Begin, Finish or Release in progress. Only the first op of a row's
// queue reads or writes.
type op struct {
	kind    opKind
	phase   phase
	row     string
	token   Token
	hash    Hash
	owner   id.Process
	claimed int64 // wall time of the claim, in ms
	outcome Outcome
	// expectedVersion is the row version that the next write expects.
	expectedVersion uint64
	// staleVersion is the highest version for which a conditional write failed: a
	// read that returns it, or a lower one, is stale.
	staleVersion uint64
	// sentState is the state that the write in flight stores.
	sentState State
	// writeUncertain is set once the reply to a write was lost: the write may have
	// taken effect or may still do so.
	writeUncertain bool
	// objectAttempts counts failed attempts to store the body.
	objectAttempts int
	// deadline is when the op times out.
	deadline time.Duration
}

// rowToWrite returns the row that the op writes.
func (o *op) rowToWrite(retention time.Duration) Row {
	r := Row{
		State:         StateClaimed,
		Token:         o.token,
		Owner:         o.owner,
		RequestHash:   o.hash,
		ClaimedUnixMS: o.claimed,
		ExpiresUnixMS: o.claimed + retention.Milliseconds(),
	}
	switch o.kind {
	case opFinish:
		r.State = StateFinished
		r.Outcome = o.outcome
	case opRelease:
		r.State = StateReleased
	}
	return r
}

// claim returns the handle for the owner of a Begin.
func (o *op) claim(version uint64) Claim {
	return Claim{
		Row:           o.row,
		RequestHash:   o.hash,
		Token:         o.token,
		Owner:         o.owner,
		Version:       version,
		ClaimedUnixMS: o.claimed,
	}
}

// stale reports whether a read that returned the version is outdated.
func (o *op) stale(version uint64) bool { return version <= o.staleVersion }
