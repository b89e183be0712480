// Package feed follows tables of the platform's store: each is read whole once
// and then followed by its changes, or by the news of another daemon that
// follows it. When the store can't be reached, or a connection to it has gone
// silent, what another daemon knows is adopted.
package feed

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Follower follows one table.
type Follower struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	rows  map[string]table.Row
	state State
	known bool
	// interrupt ends the call that waits for changes.
	interrupt context.CancelFunc
	// whole asks for a whole read next, forgotten says that it is since the store no
	// longer has the changes.
	fullRead, historyGone bool
	lost                  bool
	// idle is set while other daemons tell of the changes.
	idle bool
	// begun is set when it stops being idle: the next call does not wait, so
	// that a store that does not answer is noticed soon.
	skipWait bool
	// pollAt is when the next poll may begin.
	nextPoll time.Duration
	// wake ends an idle wait.
	wake chan struct{}
	// wait is the longest that one call waits for changes.
	wait time.Duration
	// calls are those to the store, one after another; used by the goroutine that
	// makes them.
	calls callSequence
}

const (
	// CallSlack is what an answer may take beyond the time it was told to wait.
	CallSlack = 700 * time.Millisecond
	// readTimeout bounds the reading of a whole table.
	readTimeout = 1200 * time.Millisecond
	// firstRetry is the first pause after a failed call.
	firstRetry = 50 * time.Millisecond
	// lostTimeout bounds a call to a store that did not answer the last one: it
	// does not wait for changes then, so that the store's return is seen soon.
	lostTimeout = 800 * time.Millisecond
)

// Start starts to follow a table.
func Start(cfg Config) *Follower {
	f := &Follower{
		cfg:      cfg,
		rows:     map[string]table.Row{},
		fullRead: true,
		idle:     cfg.Idle,
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		wait:     cfg.Wait,
	}
	f.state.Name = cfg.Name
	f.ctx, f.stop = context.WithCancel(context.Background())
	go f.run()
	return f
}

// Close ends the following.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

// Name is that of the table.
func (f *Follower) Name() string { return f.cfg.Name }

// State returns what is known; ok is false before the first read.
func (f *Follower) State() (s State, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot(), f.known
}

// Version is that of the newest change seen; 0 before the first read.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return 0
	}
	return f.state.Version
}

// Position is that up to which the table is known; 0 before the first read.
func (f *Follower) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Position
}

// Lost says whether the store did not answer the last call.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// install replaces all rows; the lock is held.
func (f *Follower) replaceRows(rows []table.Row, position uint64) {
	f.rows = make(map[string]table.Row, len(rows))
	for _, r := range rows {
		f.rows[r.Key] = r
		f.state.Version = max(f.state.Version, r.Version)
	}
	f.state.Position = position
	f.known = true
}

// snapshot copies the state; the lock is held.
func (f *Follower) snapshot() State {
	s := f.state
	s.Rows = make([]table.Row, 0, len(f.rows))
	for _, r := range f.rows {
		s.Rows = append(s.Rows, r)
	}
	return s
}

func (f *Follower) run() {
	defer close(f.done)
	pause := firstRetry
	for f.ctx.Err() == nil {
		changed, err := f.step()
		if err == nil {
			pause = firstRetry
			if changed && !f.fullReadDue() && !f.pause(f.cfg.Gather, nil) {
				return
			}
			continue
		}
		if !f.pause(pause/2+time.Duration(f.cfg.Rand.Int64N(int64(pause))), f.wake) {
			return
		}
		pause = min(2*pause, f.maxPause())
	}
}

// mostPause bounds the pause after a failed call.
func (f *Follower) maxPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle && f.known && f.cfg.IdleRetry > 0 {
		return f.cfg.IdleRetry
	}
	return f.cfg.Retry
}

// pause waits, less once a call is asked for by way of wake. It says false once the
// follower ends.
func (f *Follower) pause(d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.ctx.Done():
		return false
	case <-wake:
	case <-timer.C:
	}
	return true
}

// wholeDue says whether the table is to be read whole next.
func (f *Follower) fullReadDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fullRead
}

// step makes one call, or waits where none is due. It says whether the call
// brought changes; one that was interrupted is no failure.
func (f *Follower) step() (changed bool, err error) {
	f.mu.Lock()
	if f.idle && !f.fullRead && !f.lost {
		f.mu.Unlock()
		f.calls.interrupted()
		f.waitWhileIdle()
		return false, nil
	}
	whole, after := f.fullRead, f.state.Position
	ctx, cancel := context.WithCancel(f.ctx)
	if !whole {
		f.interrupt = cancel
	}
	f.mu.Unlock()
	defer cancel()
	if whole {
		err = f.readTable(ctx)
	} else {
		changed, err = f.readChanges(ctx, after)
	}
	interrupted := err != nil && ctx.Err() != nil
	if interrupted || f.ctx.Err() != nil {
		f.calls.callEnded(f.now())
		return changed, nil
	}
	if err != nil {
		f.calls.interrupted()
	}
	f.reportReachability(err)
	return changed, err
}

func (f *Follower) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := f.now()
	snapshot, err := f.cfg.Source.Read(ctx, f.cfg.Name)
	if err != nil {
		return err
	}
	f.reportReachability(nil)
	f.answered(begun, readTimeout, snapshot.Position, snapshot.Clock)
	defer f.confirm(begun)
	f.mu.Lock()
	f.fullRead = false
	if f.known && snapshot.Position < f.state.Position {
		// Another daemon told of something newer while the answer was on its way.
		f.mu.Unlock()
		return nil
	}
	news := f.diff(snapshot)
	f.historyGone = false
	f.replaceRows(snapshot.Rows, snapshot.Position)
	for _, c := range news.Changes {
		f.state.Version = max(f.state.Version, c.Version)
	}
	state := f.snapshot()
	f.mu.Unlock()
	f.cfg.Changed(state)
	if len(news.Changes) > 0 && f.cfg.Learnt != nil {
		f.cfg.Learnt(news)
	}
	return nil
}

// difference gives the changes that lead from what is known to a whole table,
// where the store has forgotten them and others rely on this follower: they hear of
// a removed row from nobody else. In other whole reads it learns what others know.
// The lock is held.
func (f *Follower) diff(s Snapshot) News {
	n := News{Name: f.cfg.Name, After: f.state.Position, Position: s.Position}
	if !f.known || f.idle || !f.historyGone {
		return n
	}
	gone := maps.Clone(f.rows)
	for _, row := range s.Rows {
		if row.Version > f.rows[row.Key].Version {
			n.Changes = append(n.Changes, Change{Row: row})
		}
		delete(gone, row.Key)
	}
	for key := range gone {
		// The version at which it was removed is not known.
		n.Changes = append(n.Changes, Change{Row: table.Row{Key: key, Version: s.Position}, Removed: true})
	}
	return n
}

// readChanges waits for changes and says whether there were any. Where there are
// none the position stays at the last change: only so do the news of one
// daemon go on where those of another ended.
func (f *Follower) readChanges(parent context.Context, after uint64) (changed bool, err error) {
	wait, limit := f.callTimeouts()
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	begun := f.now()
	delta, err := f.cfg.Source.Changes(ctx, f.cfg.Name, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.mu.Lock()
		f.fullRead, f.historyGone = true, true
		f.mu.Unlock()
		f.calls.callEnded(f.now())
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.reportReachability(nil)
	f.answered(begun, limit, delta.Position, delta.Clock)
	if len(delta.Changes) == 0 {
		f.confirm(begun)
		return false, nil
	}
	news := News{Name: f.cfg.Name, After: after, Position: delta.Position, Changes: delta.Changes}
	if changed, err = f.apply(news); err != nil {
		return changed, err
	}
	if f.cfg.Learnt != nil {
		f.cfg.Learnt(news)
	}
	f.confirm(begun)
	return changed, nil
}

// now is the daemon's time; 0 where nobody asks for it.
func (f *Follower) now() time.Duration {
	if f.cfg.Now == nil {
		return 0
	}
	return f.cfg.Now()
}

// confirm tells that all that the store had when a call began is known.
func (f *Follower) confirm(begun time.Duration) {
	if f.cfg.Confirmed != nil {
		f.cfg.Confirmed(begun)
	}
}

// patience is how long the next call waits for changes, and how long it may take.
func (f *Follower) callTimeouts() (wait, limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost || f.skipWait {
		f.skipWait = false
		return 0, lostTimeout
	}
	half := f.wait / 2
	wait = half + time.Duration(f.cfg.Rand.Int64N(int64(half)+1))
	return wait, wait + CallSlack
}

// note tells when the store stops or begins again to answer.
func (f *Follower) reportReachability(err error) {
	f.mu.Lock()
	was := f.lost
	f.lost = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.cfg.Lost(err)
	case err == nil && was:
		f.cfg.Back()
	}
}
