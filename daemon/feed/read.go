package feed

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// step makes one call, or waits if none is due. It reports whether the call
// returned changes. An interrupted call is not an error.
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
	if errors.Is(err, errNoProgress) {
		return changed, err
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
	f.answered(begun, readTimeout, Answer{Newest: snapshot.Position, Clock: snapshot.Clock})
	f.reportRead(snapshot)
	state, news, err := f.install(snapshot)
	if err != nil {
		return err
	}
	if state != nil {
		f.cfg.Changed(*state)
	}
	if news != nil && f.cfg.OnNews != nil {
		f.cfg.OnNews(*news)
	}
	f.confirm(begun)
	return nil
}

// reportRead reports a full read before it is installed.
func (f *Follower) reportRead(s Snapshot) {
	if f.cfg.OnRead == nil {
		return
	}
	f.mu.Lock()
	r := FullRead{Known: f.state.Position, Position: s.Position, HistoryGone: f.historyGone}
	r.Older = f.known && s.Position < r.Known
	f.mu.Unlock()
	f.cfg.OnRead(r)
}

// install replaces the state by a full read, unless that is older. It returns the new
// state, and the news for daemons that rely on this follower; nil for none.
func (f *Follower) install(s Snapshot) (state *State, news *News, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	older := f.known && s.Position < f.state.Position
	if older && f.historyGone {
		// The store has lost the changes after the known position and is not at that
		// position either.
		return nil, nil, errNoProgress
	}
	f.fullRead = false
	if older {
		// News from another daemon was applied while this read was in flight.
		return nil, nil, nil
	}
	news = f.diff(s)
	f.historyGone = false
	f.replaceRows(s.Rows, s.Position)
	if news != nil {
		f.completeNews(news)
	}
	copied := f.snapshot()
	return &copied, news, nil
}

// completeNews adds the version to news of a full read, or the versions of the news to
// the follower's; the lock must be held.
func (f *Follower) completeNews(n *News) {
	if n.Restored {
		n.Version = f.state.Version
		return
	}
	for _, c := range n.Changes {
		f.state.Version = max(f.state.Version, c.Version)
	}
}

// diff returns the changes that lead from the known rows to a full read; nil for none.
// It returns changes only if the store has discarded them, or came back from an older
// copy, and other daemons rely on this follower: they learn of a removed row, or of the
// store's return, from no other source. In other full reads the follower catches up with
// changes that the other daemons already have. The lock must be held.
func (f *Follower) diff(s Snapshot) *News {
	restored := table.Era(s.Position) > table.Era(f.state.Position)
	if !f.known || f.idle || !(f.historyGone || restored) {
		return nil
	}
	n := &News{Name: f.cfg.Name, After: f.state.Position, Position: s.Position, Restored: restored}
	gone := maps.Clone(f.rows)
	for _, row := range s.Rows {
		known, kept := f.rows[row.Key]
		// After a return all versions are new, and few rows differ.
		if row.Version > known.Version && !(restored && kept && bytes.Equal(row.Value, known.Value)) {
			n.Changes = append(n.Changes, Change{Row: row})
		}
		delete(gone, row.Key)
	}
	for key := range gone {
		// The version of the removal is not known.
		n.Changes = append(n.Changes, Change{Row: table.Row{Key: key, Version: s.Position}, Removed: true})
	}
	if len(n.Changes) == 0 && !restored {
		return nil
	}
	return n
}

// readChanges waits for changes and reports whether there were any. Without changes
// the position stays at the last change: only then does the news of one daemon
// continue where the news of another ended.
func (f *Follower) readChanges(parent context.Context, after uint64) (changed bool, err error) {
	wait, limit := f.callTimeouts()
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	begun := f.now()
	delta, err := f.cfg.Source.Changes(ctx, f.cfg.Name, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.calls.callEnded(f.now())
		return false, f.requestReadOfAll()
	}
	if err != nil {
		return false, err
	}
	f.reportReachability(nil)
	f.answered(begun, limit, Answer{Newest: delta.Position, Clock: delta.Clock})
	if err := f.checkProgress(delta, after, wait, f.now()-begun); err != nil {
		return false, err
	}
	if len(delta.Changes) == 0 {
		f.confirm(begun)
		return false, nil
	}
	news := News{Name: f.cfg.Name, After: after, Position: delta.Position, Changes: delta.Changes}
	if changed, err = f.apply(news); err != nil {
		return changed, err
	}
	if f.cfg.OnNews != nil {
		f.cfg.OnNews(news)
	}
	f.confirm(begun)
	return changed, nil
}

// requestReadOfAll makes the next call read the whole table, since the store no longer
// has the changes. It returns errNoProgress if the store did not have them after the
// last full read either.
func (f *Follower) requestReadOfAll() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullRead, f.historyGone = true, true
	f.historyGoneInRow++
	if f.historyGoneInRow > 1 {
		return errNoProgress
	}
	return nil
}

// checkProgress returns errNoProgress for changes that end where they begin, and for an
// answer without changes that came long before the wait was over: the next call would
// be answered the same at once.
func (f *Follower) checkProgress(d Delta, after uint64, wait, took time.Duration) error {
	f.mu.Lock()
	f.historyGoneInRow = 0
	f.mu.Unlock()
	if len(d.Changes) > 0 && d.Position <= after {
		return errNoProgress
	}
	if len(d.Changes) == 0 && f.cfg.Now != nil && took < wait/2 {
		return errNoProgress
	}
	return nil
}

// now returns the daemon's time, or 0 if Config.Now is nil.
func (f *Follower) now() time.Duration {
	if f.cfg.Now == nil {
		return 0
	}
	return f.cfg.Now()
}

// confirm reports that the follower has all changes that the store had when a call
// began.
func (f *Follower) confirm(begun time.Duration) {
	if f.cfg.Confirmed != nil {
		f.cfg.Confirmed(begun)
	}
}

// callTimeouts returns how long the next call waits for changes, and the timeout of
// the call.
func (f *Follower) callTimeouts() (wait, limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost || f.skipWait {
		f.skipWait = false
		return 0, lostTimeout
	}
	half := f.wait / 2
	wait = half + time.Duration(f.cfg.Rand.Int64N(int64(half)+1))
	return wait, wait + CallMargin
}

// reportReachability records the result of a call and calls Lost or Regained if the
// store has stopped answering or answers again.
func (f *Follower) reportReachability(err error) {
	f.mu.Lock()
	was := f.lost
	f.lost = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.cfg.Lost(err)
	case err == nil && was:
		f.cfg.Regained()
	}
}
