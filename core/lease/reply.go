package lease

import (
	"encoding/json"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Handle handles the table's reply to the last request and ignores other replies.
func (l *Lease) Handle(now time.Duration, r table.Reply) []Action {
	if r.Seq != l.seq {
		return nil
	}
	if r.Era > l.era {
		return l.onRestored(now, r)
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

// onRestored handles the first reply of a later era, in which the table came back from an
// older copy. The lease of the former era ends. A write is not relied upon: its condition
// may have held for another row that got the same number.
func (l *Lease) onRestored(now time.Duration, r table.Reply) []Action {
	var out []Action
	if l.heldFence != 0 {
		out = append(out, l.lose("the table came back from an older copy"))
	}
	l.era, l.observed, l.version, l.seen = r.Era, false, 0, Row{}
	l.acquiringFence, l.uncertain = 0, false
	if l.phase == phaseRead {
		return append(out, l.onRead(now, r)...)
	}
	return append(out, l.read())
}

// onWrite handles the reply to an acquisition or a renewal. If its effect is
// unknown, or it failed because the row had changed, the row is read.
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

// onWritten continues after an acquisition or a renewal took effect, at l.wroteAt or
// later.
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
		// The lease was lost, released or halted in the meantime, or the write was
		// confirmed only after the trust had ended.
		return nil
	}
	l.heldFence, l.trustedUntil = l.seen.Fence, trust
	return []Action{{Acquired: l.newAcquired()}}
}

// newAcquired returns the Acquired of an acquisition that took effect, with what is
// known of the former holder's orders in flight.
func (l *Lease) newAcquired() *Acquired {
	former := l.previousRow.Holder
	return &Acquired{
		Fence:    l.heldFence,
		Previous: former,
		Own:      l.previousRow.Era == l.era && former != (id.Process{}) && l.isFormerSelf(former),
		Quiet:    former == (id.Process{}) && l.previousRow.Quiet && l.previousRow.Era == l.era,
		Lapsed:   l.hasLapsed(former),
	}
}

// hasLapsed reports whether this process waited for the former holder's lease to lapse.
func (l *Lease) hasLapsed(former id.Process) bool {
	if l.previousRow.Era != l.era {
		return true
	}
	return former != (id.Process{}) && former != l.self && !l.isFormerSelf(former)
}

// isFormerSelf reports whether a process is an earlier one of this daemon that has
// certainly ended.
func (l *Lease) isFormerSelf(p id.Process) bool {
	return l.cfg.FormerEnded && p.Daemon == l.self.Daemon && p.Incarnation < l.self.Incarnation
}

// onRead handles a read of the row. A read may be stale: a version below the newest
// one seen is ignored.
func (l *Lease) onRead(now time.Duration, r table.Reply) []Action {
	row := r.Row(Key(l.duty))
	var value Row
	bad := row.Version != 0 && json.Unmarshal(row.Value, &value) != nil
	if r.Status != table.Done || bad || (l.observed && row.Version < l.version) {
		l.retryLater(now)
		return nil
	}
	if !l.observed || row.Version > l.version {
		// The row may have changed as late as at the reply, so the time counts from
		// now.
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

// checkHeld continues after a read shows that a renewal has not taken effect. If
// the row still belongs to this holder, it renews again soon; otherwise the lease is
// lost.
func (l *Lease) checkHeld(now time.Duration) []Action {
	if l.seen.Holder == l.self && l.seen.Fence == l.heldFence {
		l.wait(now, l.cfg.RenewEvery/4)
		return nil
	}
	l.wait(now, l.cfg.WatchEvery)
	return []Action{l.lose("another process holds the lease")}
}

// available reports whether this process may acquire the lease: it was never held,
// was released, belongs to this process or to an earlier process of this daemon that
// has ended, or its row was unchanged for TTL and Margin by this process's clock. What a
// row of a former era says of its holder does not count.
func (l *Lease) available(now time.Duration) bool {
	free := l.seen.Holder == (id.Process{}) || l.seen.Holder == l.self || l.isFormerSelf(l.seen.Holder)
	if free && l.seen.Era == l.era {
		return true
	}
	return now >= l.lapsesAt()
}

// lapsesAt returns the time, by this process's clock, at which the lease lapses unless its
// row changes.
func (l *Lease) lapsesAt() time.Duration {
	ttl := l.seen.TTL
	if l.seen.Era != l.era {
		ttl = max(ttl, l.cfg.TTL)
	}
	return l.unchangedSince + ttl + l.cfg.Margin
}

// watchPause returns the time until the next read: WatchEvery, or less if the lease
// lapses earlier, so that a lapsed lease is acquired without delay, but at least
// WatchEvery/8.
func (l *Lease) watchPause(now time.Duration) time.Duration {
	return max(min(l.cfg.WatchEvery, l.lapsesAt()-now), l.cfg.WatchEvery/8)
}

// finishRelease releases the lease if the row belongs to this process; otherwise it
// stops. A row of a former era is left alone: another process may have taken the lease
// since it was written.
func (l *Lease) finishRelease(now time.Duration) []Action {
	if l.seen.Holder == l.self && l.seen.Era == l.era {
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

// retryLater backs off. A holder, or a process that is stopping, retries sooner.
func (l *Lease) retryLater(now time.Duration) {
	l.backOff(now)
	if l.heldFence != 0 || l.stopping {
		l.due = min(l.due, now+l.cfg.RenewEvery/4)
	}
}
