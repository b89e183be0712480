package calls

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Queue describes the way of one queue for the calls of all daemons.
type Queue struct {
	// New returns the scheduler of an owner.
	New func(pool id.Pool, self id.Process) sched.Scheduler
	// Resend is how long a daemon waits before it asks again.
	Resend time.Duration
	// LostGrants is the share of grants that are lost on the way.
	LostGrants float64
	// OwnerChanges is when another daemon becomes the owner, 0 for never. The daemons
	// learn of it one after another, from NoticedIn to twice of it later.
	OwnerChanges, NoticedIn time.Duration
	// OwnerDies is set if the former owner dies then; otherwise it goes on with what it
	// has.
	OwnerDies bool
}

// Way creates the way of this queue.
func (q Queue) Way(w *simulation) way {
	s := &queued{Queue: q, w: w, calls: map[id.Request]*caller{}, timers: make([]timer, w.Daemons)}
	for i := range w.Daemons {
		s.members = append(s.members, daemonName(i))
	}
	for i := range w.Daemons {
		r := pairing.New(process(i), pairing.Options{Resend: q.Resend})
		r.SetMembers(0, s.members)
		s.daemons = append(s.daemons, r)
	}
	if q.OwnerChanges > 0 {
		w.schedule(q.OwnerChanges, s.changeOwner)
	}
	return s
}

func daemonName(i int) id.Daemon { return id.Daemon(fmt.Sprintf("d%03d", i)) }

func process(i int) id.Process { return id.Process{Daemon: daemonName(i), Incarnation: 1} }

// queued is the state of the way of one queue.
type queued struct {
	Queue
	w       *simulation
	members []id.Daemon
	daemons []*pairing.Requester
	timers  []timer
	// owners holds the daemons that were asked; dead is the one that died.
	owners []*owner
	dead   id.Daemon
	calls  map[id.Request]*caller
}

// changeOwner lets the daemons learn that another one is the owner.
func (q *queued) changeOwner() {
	former := rendezvous.Owner(string(poolName), q.members)
	if q.OwnerDies {
		q.dead = former
	}
	left := slices.DeleteFunc(slices.Clone(q.members), func(d id.Daemon) bool { return d == former })
	for i, r := range q.daemons {
		at := q.w.now + q.NoticedIn + q.NoticedIn*time.Duration(i)/time.Duration(len(q.daemons))
		q.w.schedule(at, func() { q.handle(i, r.SetMembers(q.w.now, left)) })
	}
}

// owner is a daemon that schedules the pool.
type owner struct {
	name id.Daemon
	sched.Scheduler
	timer timer
}

// owner returns the owner at a daemon, which begins with its first message.
func (q *queued) owner(d id.Daemon) *owner {
	for _, o := range q.owners {
		if o.name == d {
			return o
		}
	}
	o := &owner{name: d, Scheduler: q.New(poolName, id.Process{Daemon: d, Incarnation: 1})}
	q.owners = append(q.owners, o)
	q.act(o, o.Configure(q.w.now, q.w.document()))
	return o
}

// timer is the next tick of an owner or of a daemon's requests.
type timer struct{ at time.Duration }

// arm schedules a tick, unless one is scheduled that comes before.
func (q *queued) arm(t *timer, due time.Duration, tick func()) {
	due = max(due, q.w.now+time.Microsecond)
	if t.at > q.w.now && t.at <= due || due == never {
		return
	}
	t.at = due
	q.w.schedule(due, func() {
		if t.at == due {
			t.at = 0
			tick()
		}
	})
}

// never is the due time of an owner or daemon that waits for nothing.
const never = time.Duration(math.MaxInt64)

// send asks the owner for an endpoint.
func (q *queued) send(c *caller) {
	if daemonName(c.daemon) == q.dead {
		c.daemon = (c.daemon + 1) % q.w.Daemons
	}
	c.tries++
	r := c.request()
	q.calls[r] = c
	want := sched.Want{
		Request: r, Team: c.team.Name, Service: serviceName, Pool: poolName, From: process(c.daemon),
		Age: q.w.now - c.sentAt, Priority: c.team.Priority, Avoid: c.avoid, Domain: domain(c.daemon), Attempt: c.tries,
		Target: q.w.Target, Patience: q.w.Lifetime / 2, Lifetime: q.w.Lifetime,
	}
	q.handle(c.daemon, q.daemons[c.daemon].Request(q.w.now, want, want.Patience))
	attempt := c.attempt
	q.w.schedule(c.sentAt+q.w.Lifetime, func() {
		if c.attempt == attempt {
			q.handle(c.daemon, q.daemons[c.daemon].Withdraw(r))
		}
	})
}

// handle sends a daemon's messages and takes the answers to its requests.
func (q *queued) handle(daemon int, out pairing.Output) {
	r := q.daemons[daemon]
	q.arm(&q.timers[daemon], r.Next(), func() { q.handle(daemon, r.Tick(q.w.now)) })
	for _, m := range out.Messages {
		if daemonName(daemon) == q.dead {
			return
		}
		q.w.schedule(q.w.now+q.w.Hop, func() { q.deliver(m) })
	}
	for _, a := range out.Answers {
		c := q.calls[a.Request]
		if c.request() != a.Request || c.done {
			continue
		}
		if a.Err != nil {
			q.w.refused(c, a.Err.RetryAfter)
			continue
		}
		q.call(c, a.Grant)
	}
}

// deliver hands a message to an owner.
func (q *queued) deliver(m pairing.Message) {
	if m.To == q.dead {
		return
	}
	o, now := q.owner(m.To), q.w.now
	switch {
	case m.Want != nil:
		q.act(o, o.Want(now, *m.Want))
	case m.Withdraw != nil:
		q.act(o, o.Withdraw(now, m.Withdraw.Request))
	case m.Progress != nil:
		q.act(o, o.Progress(now, m.Progress.Progress))
	case m.Adopt != nil:
		q.act(o, o.Adopt(now, *m.Adopt))
	}
}

// act sends an owner's answers to the daemons.
func (q *queued) act(o *owner, actions []sched.Action) {
	for _, a := range actions {
		if a.Grant != nil && q.w.rng.Float64() < q.LostGrants {
			continue
		}
		q.w.schedule(q.w.now+q.w.Hop, func() { q.answer(o.name, a) })
	}
	q.arm(&o.timer, o.Next(), func() {
		if o.name != q.dead {
			q.act(o, o.Tick(q.w.now))
		}
	})
}

// answer hands an owner's answer to the daemon that asked.
func (q *queued) answer(from id.Daemon, a sched.Action) {
	i := slices.Index(q.members, a.To.Daemon)
	switch {
	case a.To.Daemon == q.dead:
	case a.Grant != nil:
		q.handle(i, q.daemons[i].Granted(poolName, *a.Grant))
	case a.Refusal != nil:
		q.handle(i, q.daemons[i].Refused(from, *a.Refusal))
	}
}

// call sends a granted call to its endpoint and reports its end.
func (q *queued) call(c *caller, g *sched.Grant) {
	began, attempt, daemon := q.w.now, c.attempt, c.daemon
	report := func(p sched.Progress) {
		p.Request, p.ServiceTime, p.Endpoint = g.Request, q.w.now-began, g.Decode
		q.handle(daemon, q.daemons[daemon].Progress(q.w.now, p))
	}
	q.w.endpoint(g.Decode).call(c, func() {
		if daemonName(daemon) == q.dead {
			return
		}
		if c.attempt == attempt && !c.done {
			q.w.answered(c)
			report(sched.Progress{Phase: sched.PhaseDone})
			return
		}
		report(sched.Progress{Phase: sched.PhaseCancelled})
	}, func() {
		report(sched.Progress{Phase: sched.PhaseFailed, Full: true})
		if c.attempt != attempt || c.done {
			return
		}
		c.avoid = append(c.avoid, g.Decode)
		if c.tries >= maxTries {
			q.w.refused(c, time.Second)
			return
		}
		q.send(c)
	})
}
