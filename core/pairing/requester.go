// Package pairing is the requesting side of scheduling: the state that a daemon
// keeps for each request that needs endpoints. It sends the Want to the pool's
// owner, resends it when no answer arrives or the owner changes, passes grants in
// use to a new owner, and times out. It is deterministic.
package pairing

import (
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// DefaultResend is the time after which an unanswered Want is first resent: a
	// tenth of the time that callers of streams wait.
	DefaultResend = 250 * time.Millisecond
	// maxResend bounds the resend interval, which doubles with each resend.
	// Resending only compensates for lost messages. At a constant interval, a Want
	// that waits for 3 s would reach an owner that is short of processor time
	// twelve times.
	maxResend = time.Second
	// DefaultMargin is added to a request's patience before the requester stops
	// waiting for the owner's answer.
	DefaultMargin = 100 * time.Millisecond
	// maxOwnerTimeout bounds how long a request waits for an owner that does not
	// answer, if its caller can wait as long: by then the membership has replaced a
	// dead owner.
	maxOwnerTimeout = 1500 * time.Millisecond
	// stallThreshold is the delay of a tick from which this daemon counts as having
	// been stalled.
	stallThreshold = 100 * time.Millisecond
	// stallGrace extends a deadline that passed while this daemon was stalled: the
	// owner's answer may have arrived but not been processed.
	stallGrace = DefaultResend
)

// Options configure a Requester; zero durations mean the defaults.
type Options struct {
	// Local makes this daemon the owner of every pool, for policies without an
	// owner.
	Local bool
	// Resend is the time after which an unanswered Want is first resent.
	Resend time.Duration
	// Margin is added to a request's patience before it times out.
	Margin time.Duration
}

type entry struct {
	want        sched.Want
	requestedAt time.Duration
	sentAt      time.Duration
	// resend is the time after sentAt at which the want is resent.
	resend   time.Duration
	deadline time.Duration
	// extended is set once the deadline has been extended after a stall.
	extended bool
	owner    id.Daemon
	grant    *sched.Grant
	phase    sched.Phase
	// phaseStart is the time at which the phase started.
	phaseStart time.Duration
	call       callWait
}

// Requester holds the requests of one daemon that wait for endpoints or hold a grant.
type Requester struct {
	self    id.Process
	opts    Options
	members []id.Daemon
	entries map[id.Request]*entry
	// owners holds what is known of the owners that calls were sent to.
	owners map[id.Daemon]*ownerWatch
	// now is the time of the newest event.
	now time.Duration
	// due is at or before the earliest time at which an entry, or the answer of an owner, is due.
	due time.Duration
}

// never is the due time while no entry waits.
const never = time.Duration(math.MaxInt64)

// New returns a Requester whose only known member is this daemon.
func New(self id.Process, opts Options) *Requester {
	if opts.Resend == 0 {
		opts.Resend = DefaultResend
	}
	if opts.Margin == 0 {
		opts.Margin = DefaultMargin
	}
	return &Requester{
		self:    self,
		opts:    opts,
		members: []id.Daemon{self.Daemon},
		entries: make(map[id.Request]*entry),
		owners:  make(map[id.Daemon]*ownerWatch),
	}
}

// Len returns the number of requests that wait or hold a grant.
func (a *Requester) Len() int { return len(a.entries) }

// Request sends a Want; patience is how long from now the request can wait for
// capacity. The owner refuses a request that gets none in that time, so an owner
// that does not answer is stalled or dead.
func (a *Requester) Request(now time.Duration, w sched.Want, patience time.Duration) Output {
	a.now = max(a.now, now)
	if a.leaveToCaller(now, &w) {
		return Output{Answers: []Answer{{Request: w.Request, Err: undecided(a.Owner(w.Pool), w.Pool)}}}
	}
	e := &entry{want: w, requestedAt: now, deadline: now + max(patience+a.opts.Margin, ownerTimeout(&w))}
	a.entries[w.Request] = e
	return a.sendWant(now, e, a.opts.Resend)
}

// ownerTimeout returns the minimum time for which a request waits for an owner that
// does not answer.
func ownerTimeout(w *sched.Want) time.Duration {
	if w.Prefilled || w.AnswerIn > 0 {
		// The request's KV cache expires at the end of its patience, and a call's daemon
		// chooses itself.
		return 0
	}
	return min(maxOwnerTimeout, w.Lifetime-w.Age)
}

// sendWant sends a Want to the pool's owner and schedules it to be resent after
// resend.
func (a *Requester) sendWant(now time.Duration, e *entry, resend time.Duration) Output {
	e.owner = a.Owner(e.want.Pool)
	e.sentAt = now
	e.resend = resend
	a.expectAnswer(now, e)
	a.due = min(a.due, a.entryDue(e))
	w := e.want
	w.Age += now - e.requestedAt
	return Output{Messages: []Message{{To: e.owner, Want: &w}}}
}

// Resume registers a request whose grant was held by another process: the caller
// has reconnected through this daemon while the engine is still generating.
func (a *Requester) Resume(now time.Duration, w sched.Want, g sched.Grant) Output {
	a.now = max(a.now, now)
	e := &entry{want: w, requestedAt: now, sentAt: now, grant: &g, phase: sched.PhaseDecoding, phaseStart: now}
	e.owner = a.Owner(w.Pool)
	a.entries[w.Request] = e
	return Output{Messages: []Message{a.adoptMessage(e)}}
}

// Withdraw drops a request and notifies its owner.
func (a *Requester) Withdraw(r id.Request) Output {
	e, ok := a.entries[r]
	if !ok {
		return Output{}
	}
	delete(a.entries, r)
	m := Message{To: e.owner, Withdraw: &Withdrawal{Pool: e.want.Pool, Request: r}}
	return Output{Messages: []Message{m}}
}

// Progress forwards the progress of a granted request to its owner; a final phase
// drops the request.
func (a *Requester) Progress(now time.Duration, p sched.Progress) Output {
	a.now = max(a.now, now)
	e, ok := a.entries[p.Request]
	if !ok || e.grant == nil {
		return Output{}
	}
	if e.phase != p.Phase {
		e.phaseStart = now
	}
	e.phase = p.Phase
	p.Reservation = e.grant.Reservation
	if isFinal(p.Phase) {
		delete(a.entries, p.Request)
	}
	return Output{Messages: []Message{progressMessage(e.owner, e.want.Pool, p)}}
}

func progressMessage(to id.Daemon, pool id.Pool, p sched.Progress) Message {
	return Message{To: to, Progress: &PoolProgress{Pool: pool, Progress: p}}
}

func isFinal(p sched.Phase) bool {
	return p == sched.PhaseDone || p == sched.PhaseFailed || p == sched.PhaseCancelled
}

// Granted handles a grant. A grant for an unknown request is released at once, so
// that its slot is not held until the grant expires.
func (a *Requester) Granted(pool id.Pool, g sched.Grant) Output {
	e, ok := a.entries[g.Request]
	if !ok {
		release := sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseCancelled}
		return Output{Messages: []Message{progressMessage(g.Owner.Daemon, pool, release)}}
	}
	if e.grant != nil {
		return a.rejectSecondGrant(e, g)
	}
	e.grant = &g
	if e.isCall() {
		// A call is sent at once, and its daemon reports only its end.
		e.phase, e.phaseStart = sched.PhaseDecoding, a.now
	}
	return Output{Answers: []Answer{{Request: g.Request, Grant: &g}}}
}

// rejectSecondGrant handles a grant for a request that already has one. This
// occurs when both a former and a new owner grant the request, or when an owner
// considers a delayed grant expired and replaces it. The first grant stays in use;
// the second is released, and the current owner is sent the grant in use.
func (a *Requester) rejectSecondGrant(e *entry, g sched.Grant) Output {
	if g.Owner == e.grant.Owner && g.Reservation == e.grant.Reservation {
		return Output{}
	}
	release := sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseCancelled}
	out := Output{Messages: []Message{progressMessage(g.Owner.Daemon, e.want.Pool, release)}}
	if g.Owner.Daemon == e.owner {
		out.Messages = append(out.Messages, a.adoptMessage(e))
	}
	return out
}

func (a *Requester) adoptMessage(e *entry) Message {
	adopt := &sched.Adopt{Want: e.want, Grant: *e.grant, Phase: e.phase}
	if e.phaseStart > 0 {
		adopt.InPhase = max(0, a.now-e.phaseStart)
	}
	adopt.Want.Age += max(0, a.now-e.requestedAt)
	return Message{To: e.owner, Adopt: adopt}
}

// Bound handles a binding. It is stored with the grant, so that a new owner is
// sent the endpoint in use.
func (a *Requester) Bound(b sched.Binding) Output {
	e, ok := a.entries[b.Request]
	if !ok || e.grant == nil || e.grant.Reservation != b.Reservation || !e.grant.Provisional {
		return Output{}
	}
	bound := *e.grant
	bound.Provisional = false
	bound.Decode = b.Decode
	e.grant = &bound
	return Output{Bindings: []sched.Binding{b}}
}

// Refused handles a refusal from a pool's owner. A refusal from a daemon that no
// longer owns the pool is ignored: the current owner will answer.
func (a *Requester) Refused(from id.Daemon, r sched.Refusal) Output {
	e, ok := a.entries[r.Request]
	if !ok || e.grant != nil || from != e.owner {
		return Output{}
	}
	delete(a.entries, r.Request)
	return Output{Answers: []Answer{{Request: r.Request, Err: e.callerError(&r)}}}
}

// callerError returns the caller's error for a refusal. If the owner's
// configuration lacks the service or the permission that this daemon found in its
// own, the two daemons have different versions. That lasts only for the seconds
// that a change takes to propagate, so the error is one that can be retried.
func (e *entry) callerError(r *sched.Refusal) *verdict.Error {
	switch r.Code {
	case verdict.CodeUnknownService, verdict.CodeForbidden:
		err := verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"%s, which schedules pool %s, has another configuration: %s", e.owner, e.want.Pool, r.Reason)
		if e.isCall() {
			err = err.WithCause(ErrUndecided)
		}
		return err.WithRetryAfter(verdict.TransientRetryAfter)
	default:
		return verdict.New(verdict.NotRun, r.Code, "%s", r.Reason).WithRetryAfter(r.RetryAfter)
	}
}

// entryDue returns the time at which an unanswered entry is resent or times out.
func (a *Requester) entryDue(e *entry) time.Duration {
	if e.isCall() {
		return min(e.callDue(), e.deadline)
	}
	return min(e.sentAt+e.resend, e.deadline)
}

// Next returns the time at which Tick is due, or never if no request waits for an
// answer.
func (a *Requester) Next() time.Duration { return a.due }

// Tick resends unanswered Wants and times out those past their deadline. If this
// daemon was stalled, it first extends the deadline once by stallGrace. It iterates
// over the entries only when one may be due.
func (a *Requester) Tick(now time.Duration) Output {
	a.now = max(a.now, now)
	var out Output
	if now < a.due {
		return out
	}
	stalled := now > a.due+stallThreshold
	a.due = never
	out.append(a.checkOwners(now, stalled))
	for _, r := range a.sortedRequests() {
		e := a.entries[r]
		if e.grant != nil {
			continue
		}
		if now >= e.deadline {
			if !stalled || e.extended {
				out.append(a.timeOut(e))
				continue
			}
			e.extended = true
			e.deadline = now + stallGrace
		}
		if e.isCall() {
			out.append(a.tickCall(now, e, stalled))
			continue
		}
		if now-e.sentAt >= e.resend {
			out.append(a.sendWant(now, e, min(2*e.resend, max(maxResend, e.resend))))
		}
		a.due = min(a.due, a.entryDue(e))
	}
	return out
}

func (a *Requester) timeOut(e *entry) Output {
	out := a.Withdraw(e.want.Request)
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"no answer from %s, which schedules pool %s", e.owner, e.want.Pool)
	if e.isCall() {
		err = err.WithCause(ErrUndecided)
	}
	out.Answers = append(out.Answers, Answer{Request: e.want.Request, Err: err.WithRetryAfter(verdict.TransientRetryAfter)})
	return out
}

func (a *Requester) sortedRequests() []id.Request {
	rs := make([]id.Request, 0, len(a.entries))
	for r := range a.entries {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}
