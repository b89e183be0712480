package feed

import (
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
	f.answered(begun, readTimeout, Answer{Newest: snapshot.Position, Era: snapshot.Era, Clock: snapshot.Clock})
	defer f.confirm(begun)
	f.mu.Lock()
	f.fullRead = false
	report := FullRead{Known: f.state.Position, Position: snapshot.Position, Era: snapshot.Era, HistoryGone: f.historyGone}
	report.Older = f.known && snapshot.Position < f.state.Position
	if f.cfg.OnRead != nil {
		defer f.cfg.OnRead(report)
	}
	if report.Older {
		// News from another daemon was applied while this read was in flight.
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
	if len(news.Changes) > 0 && f.cfg.OnNews != nil {
		f.cfg.OnNews(news)
	}
	return nil
}

// diff returns the changes that lead from the known rows to a full read. It returns
// changes only if the store has discarded them and other daemons rely on this
// follower, as they learn of a removed row from no other source. In other full
// reads the follower catches up with changes that the other daemons already have.
// The lock must be held.
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
		// The version of the removal is not known.
		n.Changes = append(n.Changes, Change{Row: table.Row{Key: key, Version: s.Position}, Removed: true})
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
	f.answered(begun, limit, Answer{Newest: delta.Position, Era: delta.Era, Clock: delta.Clock})
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
