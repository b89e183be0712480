// Package feed follows tables of the platform's store. Each table is read once as a
// whole and then followed by its changes, which come from the store or from the
// news of another daemon that reads the store. If the store cannot be reached, or a
// connection to it has stopped responding, the state of another daemon is adopted.
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
	// interrupt cancels the call that waits for changes.
	interrupt context.CancelFunc
	// fullRead requests a full read as the next call; historyGone means that the
	// reason is ErrHistoryGone.
	fullRead, historyGone bool
	lost                  bool
	// idle is set while other daemons send the changes.
	idle bool
	// skipWait is set when the follower stops being idle or is polled: the next
	// call does not wait for changes, so that an unresponsive store is detected
	// soon.
	skipWait bool
	// nextPoll is the earliest time of the next poll.
	nextPoll time.Duration
	// wake ends the wait of an idle follower or the pause after a failed call.
	wake chan struct{}
	// wait is the longest that one call waits for changes.
	wait time.Duration
	// calls tracks the sequence of calls to the store; used only by the goroutine
	// that makes them.
	calls callSequence
}

const (
	// CallMargin is the time that an answer may take in addition to the requested
	// wait.
	CallMargin = 700 * time.Millisecond
	// readTimeout is the timeout of a full read.
	readTimeout = 1200 * time.Millisecond
	// firstRetry is the first pause after a failed call.
	firstRetry = 50 * time.Millisecond
	// lostTimeout is the timeout of a call to a store that did not answer the last
	// one, and of other calls that do not wait for changes. Calls to a lost store
	// do not wait, so that its return is detected soon.
	lostTimeout = 800 * time.Millisecond
)

// Start starts a follower of a table.
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

// Close stops the follower and waits for its goroutine.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

// Name returns the name of the table.
func (f *Follower) Name() string { return f.cfg.Name }

// State returns the current state; ok is false before the first read.
func (f *Follower) State() (s State, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot(), f.known
}

// Version returns the version of the newest change received; 0 before the first
// read.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return 0
	}
	return f.state.Version
}

// Position returns the position up to which the table is known; 0 before the first
// read.
func (f *Follower) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Position
}

// Lost reports whether the store did not answer the last call.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// replaceRows replaces all rows; the lock must be held.
func (f *Follower) replaceRows(rows []table.Row, position uint64) {
	f.rows = make(map[string]table.Row, len(rows))
	for _, r := range rows {
		f.rows[r.Key] = r
		f.state.Version = max(f.state.Version, r.Version)
	}
	f.state.Position = position
	f.known = true
}

// snapshot copies the state; the lock must be held.
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
			if changed && !f.fullReadDue() && !f.pause(f.cfg.BatchDelay, nil) {
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

// maxPause returns the maximum pause after a failed call.
func (f *Follower) maxPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle && f.known && f.cfg.IdleRetry > 0 {
		return f.cfg.IdleRetry
	}
	return f.cfg.Retry
}

// pause waits for d or until a signal on wake. It returns false once the follower
// is closed.
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

// fullReadDue reports whether the next call reads the whole table.
func (f *Follower) fullReadDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fullRead
}

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
	f.answered(begun, readTimeout, snapshot.Position, snapshot.Clock)
	defer f.confirm(begun)
	f.mu.Lock()
	f.fullRead = false
	if f.known && snapshot.Position < f.state.Position {
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
	f.answered(begun, limit, delta.Position, delta.Clock)
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
