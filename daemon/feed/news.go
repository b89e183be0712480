package feed

import (
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ErrGap says that changes are missing between what is known and some news.
var ErrGap = errors.New("changes before these are not known")

// SetIdle says whether other daemons tell of the table's changes, so that the
// store need not be asked. One that the store does not answer goes on asking
// until it does.
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

// SetWait bounds how long a call waits for changes, from the next call on.
func (f *Follower) SetWait(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wait = wait
}

// pollPause is the least time between two polls: each gives up a call, and its
// answer must come before the next one does.
const minPollInterval = 300 * time.Millisecond

// Poll asks the store for changes at once, if it is followed and was not polled
// just before: a call that waits for some is given up.
func (f *Follower) Poll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.idle || f.fullRead || f.lost || f.skipWait || now < f.nextPoll {
		return
	}
	f.nextPoll = now + minPollInterval
	f.skipWait = true
	f.interruptWait()
}

// Refresh reads the table whole at once, on another connection than the one
// that waits for changes.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestFullRead()
}

// readNext has the table read whole next; the lock is held.
func (f *Follower) requestFullRead() {
	f.fullRead = true
	f.interruptWait()
	f.wakeUp()
}

// Adopt takes what another daemon knows, if that is newer.
func (f *Follower) Adopt(s State) bool {
	f.mu.Lock()
	if f.known && s.Version <= f.state.Version {
		f.mu.Unlock()
		return false
	}
	f.replaceRows(s.Rows, s.Position)
	f.state.Version = s.Version
	told := f.snapshot()
	f.interruptWait()
	f.mu.Unlock()
	f.cfg.Changed(told)
	return true
}

// Take applies another daemon's news; fresh says whether there was anything
// new in them. ErrGap is returned where changes before them are missing. News
// without changes have the table read.
func (f *Follower) Take(n News) (fresh bool, err error) {
	if len(n.Changes) > 0 {
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

// apply takes changes that lead from one position to another, from the store
// or from another daemon; those that are known already are passed over.
func (f *Follower) apply(n News) (fresh bool, err error) {
	f.mu.Lock()
	known := f.state.Position
	if !f.known || n.After > known {
		f.mu.Unlock()
		return false, ErrGap
	}
	if n.Position <= known {
		f.mu.Unlock()
		return false, nil
	}
	for _, c := range n.Changes {
		if c.Version > known {
			f.applyChange(c)
			fresh = true
		}
	}
	f.state.Position = n.Position
	told := f.snapshot()
	f.mu.Unlock()
	if fresh {
		f.cfg.Changed(told)
	}
	return fresh, nil
}

// applyOne takes one changed row; the lock is held.
func (f *Follower) applyChange(c Change) {
	f.state.Version = max(f.state.Version, c.Version)
	if c.Removed {
		delete(f.rows, c.Key)
		return
	}
	f.rows[c.Key] = table.Row{Key: c.Key, Value: c.Value, Version: c.Version}
}

// interruptWait ends a call that waits for changes; the lock is held.
func (f *Follower) interruptWait() {
	if f.interrupt != nil {
		f.interrupt()
	}
}

// endRest ends an idle wait; the lock is held.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// rest waits until a call may be due.
func (f *Follower) waitWhileIdle() {
	select {
	case <-f.ctx.Done():
	case <-f.wake:
	}
}
