package feed

import (
	"context"
	"errors"
	"time"
)

// step makes one call, or waits if none is due. It reports whether the call
// returned changes. An interrupted call is not an error.
func (f *Follower) step() (changed bool, err error) {
	f.mu.Lock()
	if f.idle && !f.fullRead && !f.lost && !f.verify {
		f.mu.Unlock()
		f.calls.interrupted()
		f.waitWhileIdle()
		return false, nil
	}
	whole, after := f.fullRead, f.state.Position
	f.verify = false
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
	f.waiting = !f.lost && !f.skipWait
	if !f.waiting {
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
