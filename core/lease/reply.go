package lease

import (
	"encoding/json"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Handle takes the table's reply to the last request; others are ignored.
func (l *Lease) Handle(now time.Duration, r table.Reply) []Action {
	if r.Seq != l.seq {
		return nil
	}
	switch l.phase {
	case phaseRead:
		return l.onRead(now, r)
	case phaseAcquire, phaseRenew:
		return l.onWrite(now, r)
	case phaseRelease:
		return l.onRelease(now, r)
	default:
		return nil
	}
}

// onWrite takes the reply to a take or a renewal. One in doubt, or refused
// because the row changed, is resolved by reading the row.
func (l *Lease) onWrite(now time.Duration, r table.Reply) []Action {
	switch {
	case r.Status == table.Done && r.Applied && len(r.Versions) > 0:
		l.seen, l.version, l.unchangedSince = l.pendingRow, r.Versions[0], now
		l.observed = true
		return l.onWritten(now)
	case r.Status == table.NotRun:
		l.retryLater(now)
		return nil
	default:
		l.uncertain = r.Status == table.Unknown || r.Applied
		return []Action{l.read()}
	}
}

// written goes on after a take or renewal took effect, at l.wroteAt or later.
func (l *Lease) onWritten(now time.Duration) []Action {
	l.uncertain = false
	if l.stopping {
		return []Action{l.release(now)}
	}
	trust := l.wroteAt + time.Duration(l.cfg.Safety*float64(l.cfg.TTL))
	l.wait(now, l.cfg.RenewEvery)
	if l.heldFence != 0 {
		l.trustedUntil = max(l.trustedUntil, trust)
		return nil
	}
	if l.acquiringFence == 0 || trust <= now {
		// A renewal for a lease that was given up meanwhile, or known too late.
		return nil
	}
	l.heldFence, l.trustedUntil = l.seen.Fence, trust
	return []Action{{Acquired: l.newAcquired()}}
}

// acquired tells of a take that took effect, and what the former holder may yet
// have on its way.
func (l *Lease) newAcquired() *Acquired {
	former := l.previousRow.Holder
	return &Acquired{
		Fence:    l.heldFence,
		Previous: former,
		Own:      former != (id.Process{}) && l.isFormerSelf(former),
		Quiet:    former == (id.Process{}) && l.previousRow.Quiet,
		Lapsed:   former != (id.Process{}) && former != l.self && !l.isFormerSelf(former),
	}
}

// ownFormer tells whether a process is an earlier one of this daemon, which has
// ended.
func (l *Lease) isFormerSelf(p id.Process) bool {
	return l.cfg.FormerEnded && p.Daemon == l.self.Daemon && p.Incarnation < l.self.Incarnation
}

// onRead takes the row. A read may be stale: a version below the newest seen
// is ignored.
func (l *Lease) onRead(now time.Duration, r table.Reply) []Action {
	row := r.Row(Key(l.duty))
	var value Row
	bad := row.Version != 0 && json.Unmarshal(row.Value, &value) != nil
	if r.Status != table.Done || bad || (l.observed && row.Version < l.version) {
		l.retryLater(now)
		return nil
	}
	if !l.observed || row.Version > l.version {
		// The row may have changed right up to the reply.
		l.observed, l.unchangedSince = true, now
		l.seen, l.version = value, row.Version
	}
	switch {
	case l.uncertain && l.seen == l.pendingRow:
		return l.onWritten(now)
	case l.stopping:
		return l.finishRelease(now)
	case l.heldFence != 0:
		return l.checkHeld(now)
	case l.available(now):
		return []Action{l.acquire(now)}
	default:
		l.wait(now, l.watchPause(now))
		return nil
	}
}

// checkHeld goes on after a renewal did not take effect as far as this read
// tells: if the row is still this holder's, it renews again.
func (l *Lease) checkHeld(now time.Duration) []Action {
	if l.seen.Holder == l.self && l.seen.Fence == l.heldFence {
		l.wait(now, l.cfg.RenewEvery/4)
		return nil
	}
	l.wait(now, l.cfg.WatchEvery)
	return []Action{l.lose("another process holds the row")}
}

// free tells whether the duty may be taken: never held, released, this
// process's own or its ended predecessor's, or unchanged for the whole lease by
// its own clock.
func (l *Lease) available(now time.Duration) bool {
	if l.seen.Holder == (id.Process{}) || l.seen.Holder == l.self || l.isFormerSelf(l.seen.Holder) {
		return true
	}
	return now-l.unchangedSince >= l.seen.TTL+l.cfg.Margin
}

// watchPause reads again soon enough to take a lapsed lease without delay.
func (l *Lease) watchPause(now time.Duration) time.Duration {
	left := l.unchangedSince + l.seen.TTL + l.cfg.Margin - now
	return max(min(l.cfg.WatchEvery, left), l.cfg.WatchEvery/8)
}

// settleStop releases the row if it is this process's, else stops.
func (l *Lease) finishRelease(now time.Duration) []Action {
	if l.seen.Holder == l.self {
		return []Action{l.release(now)}
	}
	l.phase = phaseStopped
	return nil
}

func (l *Lease) onRelease(now time.Duration, r table.Reply) []Action {
	switch {
	case r.Status == table.Done && r.Applied:
		l.seen = l.pendingRow
		l.phase = phaseStopped
		return nil
	case r.Status == table.NotRun:
		l.retryLater(now)
		return nil
	default:
		return []Action{l.read()}
	}
}

// retryLater backs off; a holder, or one that stops, tries again sooner.
func (l *Lease) retryLater(now time.Duration) {
	l.backOff(now)
	if l.heldFence != 0 || l.stopping {
		l.due = min(l.due, now+l.cfg.RenewEvery/4)
	}
}
