package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ErrHistoryGone says that the store has forgotten the changes behind a
// position: the table must be read whole.
var ErrHistoryGone = errors.New("the store no longer has these changes")

// Change is one changed row of a table.
type Change struct {
	table.Row
	// Removed rows have no value.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

// Snapshot is a whole table.
type Snapshot struct {
	Rows []table.Row
	// Position is behind which the changes follow.
	Position uint64
	// Clock is what the store's clock showed.
	Clock time.Duration
}

// Delta holds the changes behind a position, oldest first.
type Delta struct {
	Changes  []Change
	Position uint64
	// Clock is what the store's clock showed.
	Clock time.Duration
}

// Answer is what an answer of the store tells of the store itself.
type Answer struct {
	// Newest is the version of its newest change.
	Newest uint64
	// Clock is what its clock showed.
	Clock time.Duration
	// Unbroken says that the call followed another one that was answered, or that
	// was given up before its time, with no pause to speak of between.
	Unbroken bool
}

// Source reads tables.
type Source interface {
	// Read reads a whole table as of one moment.
	Read(ctx context.Context, name string) (Snapshot, error)
	// Changes waits up to wait for changes behind a position.
	Changes(ctx context.Context, name string, after uint64, wait time.Duration) (Delta, error)
}

// State is what one daemon knows of a table. It is handed on as a whole.
type State struct {
	Name string      `cbor:"1,keyasint"`
	Rows []table.Row `cbor:"2,keyasint"`
	// Position is where the changes go on.
	Position uint64 `cbor:"3,keyasint"`
	// Version is that of the newest change that was seen.
	Version uint64 `cbor:"4,keyasint"`
}

// News is what one daemon tells the others of a table: all changes behind one
// position up to another.
type News struct {
	Name     string `cbor:"1,keyasint"`
	After    uint64 `cbor:"2,keyasint"`
	Position uint64 `cbor:"3,keyasint"`
	// Changes, oldest first; none where they are too many to be sent: the table
	// must be read then.
	Changes []Change `cbor:"4,keyasint,omitempty"`
}

// Config of a Follower.
type Config struct {
	// Name of the table.
	Name   string
	Source Source
	// Wait is the longest that one call waits for changes; a connection that has
	// gone silent is noticed a little later. Calls wait for between half of it
	// and all, so that the calls of a fleet, which a change ends at the same
	// moment, are not all silent together.
	Wait time.Duration
	// Gather is the pause after changes, so that those that come together cost
	// one more call and not one each.
	Gather time.Duration
	// Retry bounds the pause after a failed call; the pause doubles up to it.
	Retry time.Duration
	// IdleRetry takes its place once the table is known and while other daemons
	// tell of the changes: a store that serves them and refuses this one is not
	// asked more often than needed to see that it answers again. Default Retry.
	IdleRetry time.Duration
	// Changed is told of each new state; it must not block for long.
	Changed func(s State)
	// Learnt is told of the changes that came from the store itself, after
	// Changed, also of those that it had forgotten and a whole read brought. Nil if
	// nobody is to be told.
	Learnt func(n News)
	// Answered, if set, is told of each answer of the store, before Changed.
	Answered func(a Answer)
	// Confirmed, if set, is told after Changed that the store, when a call to it
	// began, had nothing newer than what is known; by Now.
	Confirmed func(since time.Duration)
	// Now is the daemon's time.
	Now func() time.Duration
	// Idle has the table read once and then followed only when SetIdle says so.
	Idle bool
	// Lost and Back are told when the store stops and begins again to answer.
	Lost func(err error)
	Back func()
	Rand *rand.Rand
}
