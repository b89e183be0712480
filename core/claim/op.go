package claim

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// opKind says what an op wants the row to become.
type opKind uint8

const (
	opBegin opKind = iota + 1
	opFinish
	opRelease
)

// phase is what an op waits for.
type phase uint8

const (
	// phaseBehind: an earlier op of the same row is at work.
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
	// phasePause: the op waits before it reads again.
	phaseReadDelay
	// phaseDone: the op is over.
	phaseDone
)

// op is one Begin, Finish or Release at work. Only the first op of a row's
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
	// cond is the version that the next write expects.
	expectedVersion uint64
	// seen is the highest version that a write expected in vain: a read that
	// shows it, or a lower one, is stale.
	staleVersion uint64
	// sent is the state that the write in flight puts.
	sentState State
	// unsure is set once a write's reply was lost: it may have taken effect or
	// still will.
	writeUncertain bool
	// objectTries counts failed attempts to store the body.
	objectTries int
	// deadline ends the patience with the op.
	deadline time.Duration
}

// value is the row that the op writes.
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

// claim is the handle that a Begin's owner gets.
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

// stale says whether a read of that version is older than what the op knows.
func (o *op) stale(version uint64) bool { return version <= o.staleVersion }
