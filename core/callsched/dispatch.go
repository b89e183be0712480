package callsched

import (
	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/sched"
)

// dispatch grants the waiting calls for which places are free, and decides anew about those
// that can no longer be in time.
func (l *Ledger) dispatch(actions []sched.Action) []sched.Action {
	if len(l.queue) == 0 {
		return actions
	}
	l.sortQueue()
	actions = l.grantWaiting(actions)
	return l.refuseOvertaken(actions)
}

// sortQueue sorts the queue in the order in which it is served. A call that would be late
// where it stands goes behind those that can be in time.
func (l *Ledger) sortQueue() {
	for _, w := range l.queue {
		w.late = l.now > w.latestStart()
	}
	fairshare.Sort(l.queue, l.shares)
	if !l.markLate() {
		return
	}
	fairshare.Sort(l.queue, l.shares)
}

// markLate marks the calls that the ones before them make late, and reports whether there
// are any.
func (l *Ledger) markLate() bool {
	places := l.capacity().places
	if places == 0 {
		return false
	}
	work, marked := 0.0, false
	for _, w := range l.queue {
		if w.late {
			break
		}
		start := l.now + seconds((work+w.Cost())/places)
		if start <= w.latestStart() {
			work += w.Cost()
			continue
		}
		w.late, marked = true, true
	}
	return marked
}

// grantWaiting grants the waiting calls in order while any endpoint has room.
func (l *Ledger) grantWaiting(actions []sched.Action) []sched.Action {
	kept := l.queue[:0]
	for i, w := range l.queue {
		if !l.anyRoom() {
			kept = append(kept, l.queue[i:]...)
			break
		}
		e := l.choose(w)
		if e == nil {
			kept = append(kept, w)
			continue
		}
		actions = append(actions, l.grant(w, e))
		l.forgetWaiting(w)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return actions
}

// refuseOvertaken refuses the waiting calls that no endpoint serves any more, and the late
// ones that are no longer forecast to be granted within their patience: the last one in the
// order first, which leaves more room to those before it. Each waits only for those before it.
func (l *Ledger) refuseOvertaken(actions []sched.Action) []sched.Action {
	queued := l.queuedWork()
	for i := len(l.queue) - 1; i >= 0; i-- {
		w := l.queue[i]
		switch {
		case !l.servable(w):
			l.unqueue(w)
			actions = append(actions, l.refuse(w, causeNoEndpoint, l.retryAfter(w, unknownWait))...)
		case w.late && !l.worthWaiting(w, queued, 1):
			l.unqueue(w)
			actions = append(actions, l.refuse(w, causeOvertaken, l.retryAfter(w, l.waitLate(w, queued)))...)
		}
		queued -= w.Cost()
	}
	return actions
}
