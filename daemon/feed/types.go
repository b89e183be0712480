package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ErrHistoryGone means that the store no longer has the changes after a position:
// the whole table must be read.
var ErrHistoryGone = errors.New("the store no longer has these changes")

// Change is one changed row of a table.
type Change struct {
	table.Row
	// Removed is set if the row was removed. Such a change has no value.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

// errNoProgress means that the store answered, but not with what would bring the
// follower on: the next call is made after a pause.
var errNoProgress = errors.New("the store's answer brings nothing new")

// Snapshot is the content of a whole table.
type Snapshot struct {
	Rows []table.Row
	// Position is the position of the snapshot; later changes follow it.
	Position uint64
	// Clock is the store's time at the answer.
	Clock time.Duration
}

// Delta holds the changes after a position, oldest first.
type Delta struct {
	Changes  []Change
	Position uint64
	// Clock is the store's time at the answer.
	Clock time.Duration
}

// FullRead describes a full read of a table, for the log.
type FullRead struct {
	// Known is the position before the read; 0 for the first read. Position is that of
	// the read.
	Known, Position uint64
	// HistoryGone is set if the read followed ErrHistoryGone.
	HistoryGone bool
	// Older is set if the read was dropped, since it was older than the known state.
	Older bool
}

// Answer is the state of the store as reported by one of its answers.
type Answer struct {
	// Newest is the version of the store's newest change.
	Newest uint64
	// Clock is the store's time at the answer.
	Clock time.Duration
	// Unbroken reports that the previous call was answered or was interrupted
	// before its timeout, with no significant pause between the two calls.
	Unbroken bool
}

// Source reads the store's tables. Versions and positions are those of package table:
// ordered across the eras of a store that comes back from older copies.
type Source interface {
	// Read reads a whole table as of one point in time.
	Read(ctx context.Context, name string) (Snapshot, error)
	// Changes returns the changes after a position. It waits for at most wait until
	// there are any.
	Changes(ctx context.Context, name string, after uint64, wait time.Duration) (Delta, error)
}

// State is one daemon's copy of a table. It is sent to other daemons as a whole.
type State struct {
	Name string      `cbor:"1,keyasint"`
	Rows []table.Row `cbor:"2,keyasint"`
	// Position is the position after which further changes follow.
	Position uint64 `cbor:"3,keyasint"`
	// Version is the version of the newest change received.
	Version uint64 `cbor:"4,keyasint"`
}

// News is a message from one daemon to others with all changes of a table from one
// position to another.
type News struct {
	Name     string `cbor:"1,keyasint"`
	After    uint64 `cbor:"2,keyasint"`
	Position uint64 `cbor:"3,keyasint"`
	// Changes, oldest first. Empty if they are too large to be sent: the receiver
	// must then read the table.
	Changes []Change `cbor:"4,keyasint,omitempty"`
	// Restored is set if the store came back from an older copy between the two
	// positions. Changes then lists the rows that differ, of which there may be none,
	// and only a follower at exactly After can apply them.
	Restored bool `cbor:"5,keyasint,omitempty"`
	// Version is, if Restored is set, the version of the newest change that the sender
	// has received.
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// Config of a Follower.
type Config struct {
	// Name of the table.
	Name   string
	Source Source
	// Wait is the longest that one call waits for changes; a connection that has
	// stopped responding is detected slightly later. The wait of each call is
	// random between half of Wait and Wait. Otherwise the calls of a fleet, which a
	// change ends at the same time, would all go silent at the same time.
	Wait time.Duration
	// BatchDelay is the pause after changes, so that changes in quick succession are
	// read by one more call and not by one call each.
	BatchDelay time.Duration
	// Retry is the maximum pause after a failed call, and after an answer that brings
	// nothing new; the pause doubles up to it.
	Retry time.Duration
	// IdleRetry replaces Retry once the table is known and while other daemons send
	// the changes: if the store serves them and refuses this daemon, calls are
	// needed only to detect that the store answers again. Default Retry.
	IdleRetry time.Duration
	// Changed is called with each new state; it must not block for long.
	Changed func(s State)
	// OnNews is called after Changed with changes that were read from the store,
	// including those that the store had discarded and that a full read revealed.
	// May be nil.
	OnNews func(n News)
	// OnRead, if set, is called for each full read of the table that was answered.
	OnRead func(r FullRead)
	// Answered, if set, is called for each answer of the store, before Changed.
	Answered func(a Answer)
	// Confirmed, if set, is called after Changed with the time, by Now, at which a
	// call to the store began: the store had no newer changes then than the
	// follower now has.
	Confirmed func(since time.Duration)
	// Now returns the daemon's time. May be nil.
	Now func() time.Duration
	// Idle makes the follower read the table once and then follow it only after
	// SetIdle(false).
	Idle bool
	// Lost is called when the store stops answering, Regained when it answers again.
	Lost     func(err error)
	Regained func()
	Rand     *rand.Rand
	// newTimer starts the timer of a pause, for tests. Default time.NewTimer.
	newTimer func(d time.Duration) *time.Timer
}
