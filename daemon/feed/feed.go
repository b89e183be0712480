// Package feed follows tables of the platform's store. Each table is read once as a
// whole and then followed by its changes, which come from the store or from the
// news of another daemon that reads the store. If the store cannot be reached, or a
// connection to it has stopped responding, the state of another daemon is adopted.
package feed

import (
	"context"
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
	// historyGoneInRow counts the calls for changes that returned ErrHistoryGone since
	// the last one that returned changes or none.
	historyGoneInRow int
	// idle is set while other daemons send the changes.
	idle bool
	// skipWait is set when the follower stops being idle or is polled: the next
	// call does not wait for changes, so that an unresponsive store is detected
	// soon.
	skipWait bool
	// verify is set until the call that Verify asks for has begun; waiting while a call
	// that waits for changes is under way.
	verify, waiting bool
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
	if cfg.newTimer == nil {
		cfg.newTimer = time.NewTimer
	}
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

// recovering reports whether the store no longer had the changes at the last call for
// them: until it has some, no answer shortens the pause between calls.
func (f *Follower) recovering() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.historyGoneInRow > 0
}

// replaceRows replaces all rows; the lock must be held. In a later era the version is at
// least the first one of that era, so that it is above that of any daemon which has not
// heard of the era.
func (f *Follower) replaceRows(rows []table.Row, position uint64) {
	f.state.Version = max(f.state.Version, firstOf(position))
	f.rows = make(map[string]table.Row, len(rows))
	for _, r := range rows {
		f.rows[r.Key] = r
		f.state.Version = max(f.state.Version, r.Version)
	}
	f.state.Position = position
	f.known = true
}

// firstOf returns the first version of the era of a position.
func firstOf(position uint64) uint64 { return table.VersionIn(table.Era(position), 0) }

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
			if !f.recovering() {
				pause = firstRetry
			}
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
	timer := f.cfg.newTimer(d)
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
