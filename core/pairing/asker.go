// Package pairing is the asking side of scheduling: the state that a daemon
// keeps of each request that it wants endpoints for. It sends the Want to the
// pool's owner, sends it again when no answer comes or the owner changes, hands
// grants in use to a new owner, and gives up in time. It is deterministic.
package pairing

import (
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// DefaultResend is how long an unanswered Want waits before it is first sent
	// again: a tenth of what callers of streams wait.
	DefaultResend = 250 * time.Millisecond
	// resendMost bounds the wait before it is sent once more, which doubles with
	// each time. A repeat makes up for a lost message only: at one pace, requests
	// that wait for 3 s come twelve times each to an owner that is short of
	// processor time for them.
	maxResend = time.Second
	// DefaultMargin is added to a request's patience before the asker gives up
	// on its owner by itself.
	DefaultMargin = 100 * time.Millisecond
	// ownerSilence is for how long a request waits for an owner that says nothing,
	// where its caller can wait as long: until the membership has put another one in
	// the place of an owner that is gone.
	maxOwnerTimeout = 1500 * time.Millisecond
	// lateTick is how far behind its time a tick comes only where this daemon
	// was held up.
	stallThreshold = 100 * time.Millisecond
	// heldUpGrace is how long a request that ran out of patience meanwhile waits
	// on: its owner's answer may lie ready.
	stallGrace = DefaultResend
)

// Message is what the asker wants sent to a pool's owner. One field is set.
type Message struct {
	To       id.Daemon
	Want     *sched.Want
	Withdraw *Withdrawal
	Progress *PoolProgress
	Adopt    *sched.Adopt
}

// Withdrawal drops a request that waits or was granted and not begun.
type Withdrawal struct {
	Pool    id.Pool    `cbor:"1,keyasint"`
	Request id.Request `cbor:"2,keyasint"`
}

// PoolProgress is a Progress with the pool it belongs to.
type PoolProgress struct {
	Pool     id.Pool        `cbor:"1,keyasint"`
	Progress sched.Progress `cbor:"2,keyasint"`
}

// Answer ends an Ask: a grant, or an error whose verdict is not run.
type Answer struct {
	Request id.Request
	Grant   *sched.Grant
	Err     *verdict.Error
}

// Output is what an event caused: messages to send and answers to deliver.
type Output struct {
	Messages []Message
	Answers  []Answer
	Bindings []sched.Binding
}

// Options tune an Asker; zero values mean the defaults.
type Options struct {
	// Local keeps every pool on this daemon: for policies without an owner.
	Local bool
	// Resend is the wait before an unanswered Want is first sent again.
	Resend time.Duration
	// Margin is added to a request's patience before giving up.
	Margin time.Duration
}

type entry struct {
	want    sched.Want
	askedAt time.Duration
	sentAt  time.Duration
	// resend is how long after sentAt the want is sent again.
	resend   time.Duration
	deadline time.Duration
	// graced is set once giveUp was put off.
	extended bool
	owner    id.Daemon
	grant    *sched.Grant
	phase    sched.Phase
	// phaseAt is when the phase began.
	phaseStart time.Duration
}

// Asker holds the requests of one daemon that want endpoints or hold a grant.
type Asker struct {
	self    id.Process
	opts    Options
	members []id.Daemon
	entries map[id.Request]*entry
	// now is the time of the newest event.
	now time.Duration
	// due is no later than the first time at which an entry needs attention.
	due time.Duration
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// New returns an Asker whose only known member is this daemon.
func New(self id.Process, opts Options) *Asker {
	if opts.Resend == 0 {
		opts.Resend = DefaultResend
	}
	if opts.Margin == 0 {
		opts.Margin = DefaultMargin
	}
	return &Asker{
		self:    self,
		opts:    opts,
		members: []id.Daemon{self.Daemon},
		entries: make(map[id.Request]*entry),
	}
}

// Len is how many requests wait or hold a grant.
func (a *Asker) Len() int { return len(a.entries) }

// Owner returns the daemon that schedules pool.
func (a *Asker) Owner(pool id.Pool) id.Daemon {
	if a.opts.Local || len(a.members) == 0 {
		return a.self.Daemon
	}
	return rendezvous.Owner(string(pool), a.members)
}

// Ask sends a Want; patience is how long from now it can wait for room. The owner
// refuses what gets none in that time: one that says nothing is held up or gone.
func (a *Asker) Ask(now time.Duration, w sched.Want, patience time.Duration) Output {
	a.now = max(a.now, now)
	e := &entry{want: w, askedAt: now, deadline: now + max(patience+a.opts.Margin, ownerTimeout(&w))}
	a.entries[w.Request] = e
	return a.sendWant(now, e, a.opts.Resend)
}

// silence is for how long a request waits for an owner that says nothing.
func ownerTimeout(w *sched.Want) time.Duration {
	if w.Prefilled {
		// Its KV cache lapses at the end of its patience.
		return 0
	}
	return min(maxOwnerTimeout, w.Lifetime-w.Age)
}

// sendWant sends a Want to the pool's owner, and again after resend.
func (a *Asker) sendWant(now time.Duration, e *entry, resend time.Duration) Output {
	e.owner = a.Owner(e.want.Pool)
	e.sentAt = now
	e.resend = resend
	a.due = min(a.due, a.entryDue(e))
	w := e.want
	w.Age += now - e.askedAt
	return Output{Messages: []Message{{To: e.owner, Want: &w}}}
}

// Resume registers a request that another process had a grant for: its caller
// came back through this daemon while the engine still writes the answer.
func (a *Asker) Resume(now time.Duration, w sched.Want, g sched.Grant) Output {
	a.now = max(a.now, now)
	e := &entry{want: w, askedAt: now, sentAt: now, grant: &g, phase: sched.PhaseDecoding, phaseStart: now}
	e.owner = a.Owner(w.Pool)
	a.entries[w.Request] = e
	return Output{Messages: []Message{a.adoptMessage(e)}}
}

// Withdraw forgets a request and tells its owner.
func (a *Asker) Withdraw(r id.Request) Output {
	e, ok := a.entries[r]
	if !ok {
		return Output{}
	}
	delete(a.entries, r)
	m := Message{To: e.owner, Withdraw: &Withdrawal{Pool: e.want.Pool, Request: r}}
	return Output{Messages: []Message{m}}
}

// Progress passes on how a granted request fares; a final phase forgets it.
func (a *Asker) Progress(now time.Duration, p sched.Progress) Output {
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

// Granted takes a grant. One that nobody waits for is given back at once, so
// that its slot is not held until it expires.
func (a *Asker) Granted(pool id.Pool, g sched.Grant) Output {
	e, ok := a.entries[g.Request]
	if !ok {
		release := sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseCancelled}
		return Output{Messages: []Message{progressMessage(g.Owner.Daemon, pool, release)}}
	}
	if e.grant != nil {
		return a.rejectSecondGrant(e, g)
	}
	e.grant = &g
	return Output{Answers: []Answer{{Request: g.Request, Grant: &g}}}
}

// secondGrant handles a grant for a request that has one: a former owner's and
// a new owner's may both arrive, and so may a late one that its owner had taken
// for expired and the one that it gave in its place. The first stays in use;
// the other is given back, and the present owner learns of the one in use.
func (a *Asker) rejectSecondGrant(e *entry, g sched.Grant) Output {
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

func (a *Asker) adoptMessage(e *entry) Message {
	adopt := &sched.Adopt{Want: e.want, Grant: *e.grant, Phase: e.phase}
	if e.phaseStart > 0 {
		adopt.For = max(0, a.now-e.phaseStart)
	}
	adopt.Want.Age += max(0, a.now-e.askedAt)
	return Message{To: e.owner, Adopt: adopt}
}

// Bound takes a binding. It is kept with the grant, so that a new owner is told
// of the endpoint in use.
func (a *Asker) Bound(b sched.Binding) Output {
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

// Refused takes a refusal from a pool's owner. One from a daemon that no longer
// owns the pool is ignored: the present owner will answer.
func (a *Asker) Refused(from id.Daemon, r sched.Refusal) Output {
	e, ok := a.entries[r.Request]
	if !ok || e.grant != nil || from != e.owner {
		return Output{}
	}
	delete(a.entries, r.Request)
	return Output{Answers: []Answer{{Request: r.Request, Err: e.callerError(&r)}}}
}

// refusal is what the caller hears. What this daemon found in its configuration
// and the owner's lacks is in force in one of the two: that passes within the
// seconds that a change takes to spread, and is no reason to refuse for good.
func (e *entry) callerError(r *sched.Refusal) *verdict.Error {
	switch r.Code {
	case verdict.CodeUnknownService, verdict.CodeForbidden:
		err := verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"%s, which schedules pool %s, has another configuration: %s", e.owner, e.want.Pool, r.Reason)
		return err.WithRetryAfter(verdict.PassingRetryAfter)
	default:
		return verdict.New(verdict.NotRun, r.Code, "%s", r.Reason).WithRetryAfter(r.RetryAfter)
	}
}

// Members takes the live daemons. Requests of pools whose owner changed go to
// the new one: waiting ones as Wants, granted ones as Adopts.
func (a *Asker) Members(now time.Duration, members []id.Daemon) Output {
	a.now = max(a.now, now)
	a.members = slices.Clone(members)
	var out Output
	for _, r := range a.sortedRequests() {
		e := a.entries[r]
		if a.Owner(e.want.Pool) == e.owner {
			continue
		}
		out.append(a.sendToNewOwner(now, e))
	}
	return out
}

func (a *Asker) sendToNewOwner(now time.Duration, e *entry) Output {
	if e.grant == nil {
		return a.sendWant(now, e, a.opts.Resend)
	}
	e.owner = a.Owner(e.want.Pool)
	return Output{Messages: []Message{a.adoptMessage(e)}}
}

// attention is when an unanswered entry is sent again or given up.
func (a *Asker) entryDue(e *entry) time.Duration { return min(e.sentAt+e.resend, e.deadline) }

// Next is when Tick is due; far away when nothing waits for an answer.
func (a *Asker) Next() time.Duration { return a.due }

// Tick sends unanswered Wants again and gives up on those out of patience, but
// not for time in which this daemon was held up. It looks through the entries
// only when one may be due.
func (a *Asker) Tick(now time.Duration) Output {
	a.now = max(a.now, now)
	var out Output
	if now < a.due {
		return out
	}
	heldUp := now > a.due+stallThreshold
	a.due = never
	for _, r := range a.sortedRequests() {
		e := a.entries[r]
		if e.grant != nil {
			continue
		}
		if now >= e.deadline {
			if !heldUp || e.extended {
				out.append(a.timeOut(e))
				continue
			}
			e.extended = true
			e.deadline = now + stallGrace
		}
		if now-e.sentAt >= e.resend {
			out.append(a.sendWant(now, e, min(2*e.resend, max(maxResend, e.resend))))
		}
		a.due = min(a.due, a.entryDue(e))
	}
	return out
}

func (a *Asker) timeOut(e *entry) Output {
	out := a.Withdraw(e.want.Request)
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"no answer from %s, which schedules pool %s", e.owner, e.want.Pool)
	out.Answers = append(out.Answers, Answer{Request: e.want.Request, Err: err.WithRetryAfter(verdict.PassingRetryAfter)})
	return out
}

func (a *Asker) sortedRequests() []id.Request {
	rs := make([]id.Request, 0, len(a.entries))
	for r := range a.entries {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}

func (o *Output) append(other Output) {
	o.Messages = append(o.Messages, other.Messages...)
	o.Answers = append(o.Answers, other.Answers...)
	o.Bindings = append(o.Bindings, other.Bindings...)
}
