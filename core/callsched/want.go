package callsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// lateMargin is the factor by which the time left of a late call's patience must exceed its
// forecast wait: those that can be in time go first, also if more of them come than now.
const lateMargin = 2

// waitMargin is the factor by which the time left before the last safe start must exceed the
// forecast wait.
const waitMargin = 1.2

// Want implements sched.Scheduler.
func (l *Ledger) Want(now time.Duration, w sched.Want) []sched.Action {
	l.begin(now)
	return l.finish(l.answerOrQueue(w))
}

// answerOrQueue answers a Want at once or queues it.
func (l *Ledger) answerOrQueue(w sched.Want) []sched.Action {
	if g := l.granted[w.Request]; g != nil {
		l.stats.Repeated++
		l.renew(g)
		return []sched.Action{g.answer(w.From)}
	}
	if l.waiting[w.Request] != nil {
		l.stats.Repeated++
		return nil
	}
	if refusal, known := l.ended.Get(w.Request); known {
		l.stats.Repeated++
		if refusal == nil {
			refusal = &sched.Refusal{Request: w.Request, Code: verdict.CodeSuperseded, Reason: "the call has ended"}
		}
		return []sched.Action{{To: w.From, Refusal: refusal}}
	}
	s := l.services[w.Service]
	if s == nil {
		return l.refuseUnknown(w)
	}
	l.stats.Wants++
	return l.admit(l.newWaiting(w, s))
}

// admit grants a call if a place is free and none waits, queues it if its forecast allows
// that, and refuses it otherwise.
func (l *Ledger) admit(w *waiting) []sched.Action {
	if !l.servable(w) {
		return l.refuse(w, causeNoEndpoint, verdict.TransientRetryAfter)
	}
	l.offered.add(l.now, w.cost)
	l.usual.add(l.now, w.cost)
	if len(l.queue) == 0 {
		if e := l.choose(w); e != nil {
			return l.grantAtOnce(w, e)
		}
	}
	wait := l.waitInTime(w)
	switch {
	case len(l.queue) >= l.options.MaxQueue:
		return l.refuse(w, causeQueueFull, l.retryAfter(w, wait))
	case l.now+time.Duration(waitMargin*float64(wait)) <= w.safeStart(l.capacity().perCall):
		l.promise(w)
	case l.worthWaiting(w, l.queuedWork()+w.Cost(), lateMargin):
		w.late = true
	default:
		l.forecasts.refused(l.now, min(wait, w.patience-l.now))
		return l.refuse(w, causeForecast, l.retryAfter(w, wait))
	}
	l.enqueue(w)
	return nil
}

// grantAtOnce grants a new call that finds a free place and an empty queue.
func (l *Ledger) grantAtOnce(w *waiting, e *endpoint) []sched.Action {
	w.startTag = l.shares.Next(w.team.name)
	w.late = l.now > w.latestStart()
	if !w.late {
		l.promise(w)
	}
	return []sched.Action{l.grant(w, e)}
}

// promise marks a call as one that will be in time. Its work counts as load that goes before
// other calls.
func (l *Ledger) promise(w *waiting) {
	w.promised = true
	w.team.loads[w.want.Priority].add(l.now, w.cost)
}

// worthWaiting reports whether a late call is forecast to be granted within its patience,
// with a margin, and answered within its lifetime; queued is as for waitLate.
func (l *Ledger) worthWaiting(w *waiting, queued, margin float64) bool {
	wait := time.Duration(margin * float64(l.waitLate(w, queued)))
	return l.now+wait <= w.patience && l.now+wait+w.cost+messageTime <= w.lifetime
}

// enqueue adds a call to the queue.
func (l *Ledger) enqueue(w *waiting) {
	l.queue = append(l.queue, w)
	l.waiting[w.want.Request] = w
	w.team.queued++
	l.dispatchDue = l.dispatchDue || l.anyRoom()
}

// unqueue removes a call from the queue.
func (l *Ledger) unqueue(w *waiting) {
	i := slices.Index(l.queue, w)
	l.queue = slices.Delete(l.queue, i, i+1)
	l.forgetWaiting(w)
}

// forgetWaiting is called for a call that has been removed from the queue.
func (l *Ledger) forgetWaiting(w *waiting) {
	delete(l.waiting, w.want.Request)
	w.team.queued--
}

// Withdraw implements sched.Scheduler.
func (l *Ledger) Withdraw(now time.Duration, request id.Request) []sched.Action {
	l.begin(now)
	if w := l.waiting[request]; w != nil {
		l.unqueue(w)
	}
	if g := l.granted[request]; g != nil {
		l.release(g)
	}
	l.lapsed.Remove(request)
	l.ended.Add(request, nil)
	return l.finish(nil)
}

// ProcessGone implements sched.Scheduler.
func (l *Ledger) ProcessGone(now time.Duration, p id.Process) []sched.Action {
	l.begin(now)
	for _, w := range slices.Clone(l.queue) {
		if w.want.From == p {
			l.unqueue(w)
		}
	}
	for _, g := range l.sortedGrants() {
		if g.want.From == p {
			l.release(g)
		}
	}
	return l.finish(nil)
}
