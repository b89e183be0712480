package pairing

import (
	"errors"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// A plain call takes less time than the membership needs to detect a dead owner. Its daemon
// therefore expects a first answer within Want.AnswerIn, after which it chooses an endpoint
// itself, and hears from the owner at that interval while the call is queued.

// ErrUndecided is the cause of errors of calls that their owner has not decided on: it does
// not answer, or has another configuration. The call's daemon may choose an endpoint itself.
var ErrUndecided = errors.New("the pool's owner has not decided")

const (
	// silenceFactor times the time for a first answer without any answer is the silence of
	// an owner: one late answer concerns one call only.
	silenceFactor = 2
	// silentProbe is the time between two calls that are sent to an owner which does not
	// answer: often enough that its queue is used again soon after it is back.
	silentProbe = 250 * time.Millisecond
	// movedAtOnce calls are sent to a new owner at once, and as many after each movePause:
	// all that wait in a fleet together would exceed what its ring takes.
	movedAtOnce = 16
	movePause   = 2 * time.Millisecond
)

// callWait is the state of a plain call that waits for its owner.
type callWait struct {
	// answerBy is when the first answer to the latest Want is due; 0 if it has come.
	answerBy time.Duration
	// checkAt is when to check again that the owner of a queued call answers.
	checkAt time.Duration
	// unsent is set until sendAt, when the Want is sent to a new owner.
	unsent bool
	sendAt time.Duration
	// extended is set once answerBy was extended since this daemon was stalled.
	extended bool
}

func (e *entry) isCall() bool { return e.want.AnswerIn > 0 }

// callDue returns the time at which a call that waits needs Tick.
func (e *entry) callDue() time.Duration {
	switch {
	case e.call.unsent:
		return e.call.sendAt
	case e.call.answerBy > 0:
		return e.call.answerBy
	default:
		return min(e.call.checkAt, e.sentAt+e.resend)
	}
}

// ownerWatch is what is known of an owner that calls were sent to.
type ownerWatch struct {
	// heardAt is when the owner last answered anything.
	heardAt time.Duration
	// dueAt is when the oldest message that it has not answered is overdue; 0 if none.
	dueAt time.Duration
	// grace is added to dueAt once if this daemon was stalled.
	grace  time.Duration
	silent bool
	// probeAt is when the next call may be sent to a silent owner.
	probeAt time.Duration
}

func (a *Requester) watch(owner id.Daemon) *ownerWatch {
	o, ok := a.owners[owner]
	if !ok {
		o = &ownerWatch{heardAt: a.now}
		a.owners[owner] = o
	}
	return o
}

// forgetOwners drops the owners that are no members.
func (a *Requester) forgetOwners() {
	members := make(map[id.Daemon]bool, len(a.members))
	for _, m := range a.members {
		members[m] = true
	}
	for name := range a.owners {
		if !members[name] {
			delete(a.owners, name)
		}
	}
}

// leaveToCaller reports whether a new call is not sent to its owner, since that is silent
// and another call probes it.
func (a *Requester) leaveToCaller(now time.Duration, w *sched.Want) bool {
	if w.AnswerIn <= 0 {
		return false
	}
	o := a.watch(a.Owner(w.Pool))
	if !o.silent {
		return false
	}
	if now < o.probeAt {
		return true
	}
	o.probeAt = now + silentProbe
	return false
}

// expectAnswer records that a call's Want was sent.
func (a *Requester) expectAnswer(now time.Duration, e *entry) {
	if !e.isCall() {
		return
	}
	e.call = callWait{answerBy: now + e.want.AnswerIn}
	o := a.watch(e.owner)
	if o.dueAt == 0 {
		o.dueAt, o.grace = now+silenceFactor*e.want.AnswerIn, e.want.AnswerIn
		a.due = min(a.due, o.dueAt)
	}
}

// Heard records that an owner has answered something.
func (a *Requester) Heard(now time.Duration, from id.Daemon) Output {
	a.now = max(a.now, now)
	o, ok := a.owners[from]
	if !ok {
		return Output{}
	}
	o.heardAt, o.dueAt = now, 0
	if !o.silent {
		return Output{}
	}
	o.silent = false
	return Output{Owners: []OwnerChange{{Owner: from}}}
}

// Queued handles the owner's word that a call waits in its queue.
func (a *Requester) Queued(from id.Daemon, q Queued) {
	e, ok := a.entries[q.Request]
	if !ok || e.grant != nil || from != e.owner || e.call.unsent {
		return
	}
	e.call = callWait{checkAt: a.now + e.want.AnswerIn}
	a.due = min(a.due, a.entryDue(e))
}

// checkOwners marks the owners that have not answered in time as silent. An answer may wait
// to be processed if this daemon was stalled, so that the wait is extended once.
func (a *Requester) checkOwners(now time.Duration, stalled bool) Output {
	var out Output
	for _, name := range a.sortedOwners() {
		o := a.owners[name]
		if o.dueAt == 0 {
			continue
		}
		if now < o.dueAt {
			a.due = min(a.due, o.dueAt)
			continue
		}
		if stalled && o.grace > 0 {
			o.dueAt, o.grace = now+o.grace, 0
			a.due = min(a.due, o.dueAt)
			continue
		}
		o.dueAt = 0
		if !o.silent {
			o.silent = true
			o.probeAt = now + silentProbe
			out.Owners = append(out.Owners, OwnerChange{Owner: name, Silent: true})
		}
	}
	return out
}

// tickCall advances a call that waits for its owner.
func (a *Requester) tickCall(now time.Duration, e *entry, stalled bool) Output {
	var out Output
	o := a.watch(e.owner)
	switch {
	case e.call.unsent && now >= e.call.sendAt:
		out = a.sendWant(now, e, a.opts.Resend)
	case e.call.unsent:
	case e.call.answerBy > 0 && now >= e.call.answerBy && stalled && !e.call.extended:
		e.call.answerBy, e.call.extended = now+e.want.AnswerIn, true
	case e.call.answerBy > 0 && now >= e.call.answerBy, e.call.answerBy == 0 && o.silent:
		return a.timeOut(e)
	case e.call.answerBy == 0 && now-e.sentAt >= e.resend:
		out = a.resendQueued(now, e, min(2*e.resend, max(maxResend, e.resend)))
	case e.call.answerBy == 0 && now >= e.call.checkAt:
		out = a.checkQueued(now, e, o)
	}
	a.due = min(a.due, a.entryDue(e))
	return out
}

// checkQueued checks that the owner of a queued call still answers: unless it was heard
// lately, or another call asks already, the Want is sent again.
func (a *Requester) checkQueued(now time.Duration, e *entry, o *ownerWatch) Output {
	switch {
	case now < o.heardAt+e.want.AnswerIn:
		e.call.checkAt = o.heardAt + e.want.AnswerIn
	case o.dueAt > now:
		e.call.checkAt = o.dueAt
	default:
		return a.resendQueued(now, e, e.resend)
	}
	return Output{}
}

// resendQueued sends the Want of a queued call again. The call stays queued: only the
// owner's silence towards all calls ends its wait.
func (a *Requester) resendQueued(now time.Duration, e *entry, resend time.Duration) Output {
	out := a.sendWant(now, e, resend)
	e.call = callWait{checkAt: now + e.want.AnswerIn}
	return out
}

// moveCall lets a waiting call ask its pool's new owner; position is its place among those
// that do.
func (a *Requester) moveCall(now time.Duration, e *entry, position int) {
	e.owner = a.Owner(e.want.Pool)
	e.call = callWait{unsent: true, sendAt: now + time.Duration(position/movedAtOnce)*movePause}
	a.due = min(a.due, a.entryDue(e))
}

// undecided returns the error of a call whose owner does not answer.
func undecided(owner id.Daemon, pool id.Pool) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s, which schedules pool %s, does not answer", owner, pool)
	return err.WithRetryAfter(verdict.TransientRetryAfter).WithCause(ErrUndecided)
}

func (a *Requester) sortedOwners() []id.Daemon {
	out := make([]id.Daemon, 0, len(a.owners))
	for name := range a.owners {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
