package feed

import (
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ErrGap means that changes are missing between the known position and the start of
// the news.
var ErrGap = errors.New("changes before these are missing")

// SetIdle sets whether other daemons send the table's changes, so that the store
// need not be called. While the store does not answer, an idle follower keeps
// calling it until it does.
func (f *Follower) SetIdle(idle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == idle {
		return
	}
	f.idle = idle
	if !idle {
		f.skipWait = true
		f.wakeUp()
	}
}

// SetWait sets the longest that a call waits for changes, from the next call on.
func (f *Follower) SetWait(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wait = wait
}

// minPollInterval is the minimum interval between two polls. Each poll cancels a
// call, so its answer must arrive before the next poll.
const minPollInterval = 300 * time.Millisecond

// Poll calls the store for changes at once, unless the follower is idle, the store
// does not answer, a full read or a call without a wait is already due, or
// minPollInterval has not passed since the last poll. A call that waits for changes
// is cancelled.
func (f *Follower) Poll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.now(); now >= f.nextPoll {
		f.poll(now)
	}
}

// PollNow is Poll without minPollInterval, for what happens rarely.
func (f *Follower) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poll(f.now())
}

// poll calls the store for changes at once, if that is of use; the lock must be held.
func (f *Follower) poll(now time.Duration) {
	if f.idle || f.fullRead || f.lost || f.skipWait {
		return
	}
	f.nextPoll = now + minPollInterval
	f.skipWait = true
	f.interruptWait()
}

// Refresh reads the whole table at once, over another connection than the call that
// waits for changes, which is cancelled.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestFullRead()
}

// requestFullRead makes the next call read the whole table; the lock must be held.
func (f *Follower) requestFullRead() {
	f.fullRead = true
	f.interruptWait()
	f.wakeUp()
}

// Adopt replaces the state by another daemon's, if that is newer.
func (f *Follower) Adopt(s State) bool {
	f.mu.Lock()
	if f.known && s.Version <= f.state.Version {
		f.mu.Unlock()
		return false
	}
	f.replaceRows(s.Rows, s.Position)
	f.state.Version = s.Version
	state := f.snapshot()
	f.interruptWait()
	f.mu.Unlock()
	f.cfg.Changed(state)
	return true
}

// ApplyNews applies another daemon's news; fresh reports whether there were any new
// changes. It returns ErrGap if changes before the news are missing. News without
// changes makes the follower read the table, unless the store came back with the same
// rows.
func (f *Follower) ApplyNews(n News) (fresh bool, err error) {
	if len(n.Changes) > 0 || n.Restored {
		return f.apply(n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fullRead || f.known && n.Position <= f.state.Position {
		return false, nil
	}
	f.requestFullRead()
	return false, nil
}

// apply applies changes from one position to another, from the store or from
// another daemon. Changes that are already known are skipped.
func (f *Follower) apply(n News) (fresh bool, err error) {
	f.mu.Lock()
	if ok, err := f.applicable(n); !ok {
		f.mu.Unlock()
		return false, err
	}
	known := f.state.Position
	for _, c := range n.Changes {
		if c.Version > known {
			f.applyChange(c)
			fresh = true
		}
	}
	if n.Restored {
		// The same at all daemons: the versions of removals are not known exactly.
		f.state.Version = max(n.Version, firstOf(n.Position))
		fresh = true
	}
	f.state.Position = n.Position
	state := f.snapshot()
	f.mu.Unlock()
	if fresh {
		f.cfg.Changed(state)
	}
	return fresh, nil
}

// applicable reports whether news contains unknown changes and all that are needed; the
// lock must be held. News that lead into a later era list only what differs from the
// state at their begin. They help no follower that is in that era already: it may have
// come there by a state between.
func (f *Follower) applicable(n News) (bool, error) {
	known := f.state.Position
	switch {
	case !f.known || n.After > known:
		return false, ErrGap
	case n.Position <= known:
		return false, nil
	case table.Era(n.Position) > table.Era(known) && n.After < known:
		return false, ErrGap
	case table.Era(n.After) < table.Era(known):
		return false, nil
	default:
		return true, nil
	}
}

// applyChange applies one changed row; the lock must be held.
func (f *Follower) applyChange(c Change) {
	f.state.Version = max(f.state.Version, c.Version)
	if c.Removed {
		delete(f.rows, c.Key)
		return
	}
	f.rows[c.Key] = table.Row{Key: c.Key, Value: c.Value, Version: c.Version}
}

// interruptWait cancels a call that waits for changes; the lock must be held.
func (f *Follower) interruptWait() {
	if f.interrupt != nil {
		f.interrupt()
	}
}

// wakeUp ends the wait of an idle follower or the pause after a failed call; the
// lock must be held.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// waitWhileIdle waits until a call may be due.
func (f *Follower) waitWhileIdle() {
	select {
	case <-f.ctx.Done():
	case <-f.wake:
	}
}
