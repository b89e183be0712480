package forward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// queueOwner grants the endpoints in their order, but none that a call avoids unless it is
// careless. It is safe for concurrent use.
type queueOwner struct {
	mu        sync.Mutex
	endpoints []id.Endpoint
	careless  bool
	// err, if set, answers the calls from attempt after on.
	err   *verdict.Error
	after int
	wants []sched.Want
	// ends holds the ends of each granted call.
	ends map[id.Request][]sched.Progress
}

// Pair implements Pairer.
func (o *queueOwner) Pair(_ context.Context, w sched.Want, _ time.Duration) (sched.Grant, *verdict.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wants = append(o.wants, w)
	if o.err != nil && len(o.wants) > o.after {
		return sched.Grant{}, o.err
	}
	for _, e := range o.endpoints {
		if o.careless || !slices.Contains(w.Avoid, e) {
			if o.ends == nil {
				o.ends = map[id.Request][]sched.Progress{}
			}
			o.ends[w.Request] = nil
			return sched.Grant{Request: w.Request, Decode: e, Reservation: uint64(len(o.wants))}, nil
		}
	}
	return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no endpoint is left").WithRetryAfter(70 * time.Millisecond)
}

// Progress implements Pairer.
func (o *queueOwner) Progress(p sched.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends[p.Request] = append(o.ends[p.Request], p)
}

// phases returns the ends of all grants in the order of the Wants; it fails the test if a
// grant has not exactly one end.
func (o *queueOwner) phases(t *testing.T) []sched.Progress {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []sched.Progress
	for _, w := range o.wants {
		ends, granted := o.ends[w.Request]
		if granted && len(ends) != 1 {
			t.Fatalf("the grant of %s has the ends %v", w.Request, ends)
		}
		for _, p := range ends {
			p.Request, p.ServiceTime = "", 0
			out = append(out, p)
		}
	}
	return out
}

// newQueueTest is newTest with the call queue on.
func newQueueTest(t *testing.T, endpoints Endpoints, owner Pairer) (*Forwarder, *Request) {
	f, r := newTest(t, endpoints)
	f.Pairer = owner
	f.CallQueue = func() bool { return true }
	return f, r
}

func answerWith(status int) func(*Attempt) (*Reply, *verdict.Error) {
	return func(*Attempt) (*Reply, *verdict.Error) { return &Reply{Status: status}, nil }
}

var undecidedError = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "it is silent").WithCause(pairing.ErrUndecided)

// TestEachGrantOfACallHasOneEnd checks a slot that is lost, or given twice, since a way out
// of a call reports no end or two.
func TestEachGrantOfACallHasOneEnd(t *testing.T) {
	failed := sched.Progress{Phase: sched.PhaseFailed, Endpoint: "a"}
	with := func(change func(*sched.Progress)) sched.Progress {
		p := failed
		change(&p)
		return p
	}
	cancelled := sched.Progress{Phase: sched.PhaseCancelled}
	cases := map[string]struct {
		path   string
		answer func(*Attempt) (*Reply, *verdict.Error)
		first  sched.Progress
		ends   int
		sent   int
	}{
		"answered":            {"/again/x", answerWith(200), sched.Progress{Phase: sched.PhaseDone}, 1, 1},
		"refused by its own":  {"/again/x", answerWith(404), sched.Progress{Phase: sched.PhaseDone}, 1, 1},
		"failed":              {"/again/x", answerWith(500), failed, 2, 2},
		"failed, runs once":   {"/once/x", answerWith(500), failed, 1, 1},
		"full":                {"/once/x", failWith(verdict.NotRun, verdict.CodeOverloaded), with(func(p *sched.Progress) { p.Full = true }), 3, 3},
		"unreachable":         {"/once/x", failWith(verdict.NotRun, verdict.CodeUnavailable), with(func(p *sched.Progress) { p.Unreachable = true }), 3, 3},
		"superseded":          {"/once/x", failWith(verdict.NotRun, verdict.CodeSuperseded), with(func(p *sched.Progress) { p.Unreachable = true }), 3, 3},
		"broken, runs once":   {"/once/x", failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed), failed, 1, 1},
		"broken":              {"/again/x", failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed), failed, 2, 2},
		"timed out":           {"/once/x", failWith(verdict.MayHaveRun, verdict.CodeDeadline), with(func(p *sched.Progress) { p.TimedOut = true }), 1, 1},
		"not sent in time":    {"/once/x", failWith(verdict.NotRun, verdict.CodeDeadline), cancelled, 3, 3},
		"the caller has left": {"/once/x", failWith(verdict.MayHaveRun, verdict.CodeCallerGone), cancelled, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeEndpoints{answer: c.answer, survive: true}
			owner := &queueOwner{endpoints: []id.Endpoint{"a", "b", "c", "d"}}
			f, r := newQueueTest(t, s, owner)
			f.ReportMisdirected = func(e registry.Endpoint) {}
			r.Path = c.path
			_, _ = f.Run(context.Background(), r)
			ends := owner.phases(t)
			is.Equal(len(ends), c.ends)
			is.Equal(ends[0], c.first)
			is.Equal(len(s.sent), c.sent)
			for _, a := range s.sent {
				is.Equal(f.Balancer.Available(f.Now()+time.Minute, "s"), 4)
				is.True(slices.Contains(owner.endpoints, a.Endpoint.Name))
			}
		})
	}
}

// TestTheEndpointThatTheOwnerGrantsIsUsed checks what the owner is told of a call.
func TestTheEndpointThatTheOwnerGrantsIsUsed(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: answerWith(200)}
	owner := &queueOwner{endpoints: []id.Endpoint{"c"}}
	f, r := newQueueTest(t, s, owner)
	_, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	is.Equal(s.sent[0].Endpoint.Name, id.Endpoint("c"))
	w := owner.wants[0]
	is.Equal(w.Pool, id.Pool("s"))
	is.Equal(w.Service, id.Service("s"))
	is.Equal(w.Team, id.Team("again"))
	is.Equal(w.Lifetime, time.Second)
	is.Equal(w.Priority, highestPriority)
	is.True(w.Content != 0)
	is.True(w.AnswerIn > 0 && w.AnswerIn < w.Lifetime/2)
}

// TestTheOwnersRefusalIsFinal checks that a refused call is not sent past the queue, and
// that its caller learns when to come back.
func TestTheOwnersRefusalIsFinal(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: answerWith(200)}
	owner := &queueOwner{}
	f, r := newQueueTest(t, s, owner)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Code, verdict.CodeOverloaded)
	is.Equal(err.RetryAfter, 70*time.Millisecond)
	is.True(refusedByOwner(err))
	is.Equal(len(s.sent), 0)
	is.Equal(len(owner.wants), 1)
}

// TestARefusedRetryKeepsTheFirstVerdict checks a call that may have run, and whose retry the
// owner refuses.
func TestARefusedRetryKeepsTheFirstVerdict(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed), survive: true}
	owner := &queueOwner{endpoints: []id.Endpoint{"a"}}
	f, r := newQueueTest(t, s, owner)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.MayHaveRun)
	is.Equal(len(owner.phases(t)), 1)
	is.Equal(owner.wants[1].Avoid, []id.Endpoint{"a"})
}

// TestAGrantThatCannotBeUsedIsGivenBack checks an owner that knows another registry, or
// nothing of this daemon's backoffs.
func TestAGrantThatCannotBeUsedIsGivenBack(t *testing.T) {
	cases := map[string]func(f *Forwarder){
		"unknown": func(f *Forwarder) { delete(f.View().Endpoints, "a") },
		"leaving": func(f *Forwarder) {
			e := f.View().Endpoints["a"]
			e.Leaving = true
			f.View().Endpoints["a"] = e
		},
		"in backoff": func(f *Forwarder) { askFor(f, 3*time.Second, "a") },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeEndpoints{answer: answerWith(200)}
			owner := &unheedingQueue{queueOwner{endpoints: []id.Endpoint{"a", "b"}}, 0}
			f, r := newQueueTest(t, s, owner)
			change(f)
			_, err := f.Run(context.Background(), r)
			is.Equal(err, nil)
			is.Equal(sentTo(s), map[id.Endpoint]int{"b": 1})
			ends := owner.phases(t)
			is.Equal(len(ends), 2)
			is.Equal(ends[0].Phase, sched.PhaseCancelled)
			is.Equal(ends[1].Phase, sched.PhaseDone)
			is.True(slices.Contains(owner.wants[1].Avoid, "a"))
		})
	}
}

// unheedingQueue is a queueOwner that does not heed what the first call avoids.
type unheedingQueue struct {
	queueOwner
	calls int
}

// Pair implements Pairer.
func (o *unheedingQueue) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	o.calls++
	o.careless = o.calls == 1
	return o.queueOwner.Pair(ctx, w, patience)
}

// TestAnOwnerThatOnlyGrantsUnknownEndpointsLeavesTheCallToItsDaemon checks many endpoints that
// are started together and are not yet known here: their owner is not asked without end, each
// grant is given back, and the call is sent once, to an endpoint that is known here.
func TestAnOwnerThatOnlyGrantsUnknownEndpointsLeavesTheCallToItsDaemon(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: answerWith(200)}
	owner := &queueOwner{endpoints: []id.Endpoint{"elsewhere"}, careless: true}
	f, r := newQueueTest(t, s, owner)
	_, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	is.Equal(len(owner.phases(t)), maxGivenBack)
	is.Equal(len(s.sent), 1)
	is.Equal(f.fallbacks.InFlight(), 0)
}

// TestACallThatMayNotBeSentGivesItsGrantBack checks evidence that comes while a call waits
// for the owner.
func TestACallThatMayNotBeSentGivesItsGrantBack(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: answerWith(200)}
	owner := &queueOwner{endpoints: []id.Endpoint{"a"}}
	f, r := newQueueTest(t, s, owner)
	f.Pairer = pairFunc{owner, func() {
		for _, e := range []id.Endpoint{"x", "y", "z"} {
			f.recordCrash(r, &trace{route: f.View().Routes.Match(r.Host, r.Path)}, e, 0)
		}
	}}
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
	is.Equal(owner.phases(t), []sched.Progress{{Phase: sched.PhaseCancelled}})
	is.Equal(len(s.sent), 0)
}

// pairFunc calls before at each Pair.
type pairFunc struct {
	*queueOwner
	before func()
}

// Pair implements Pairer.
func (p pairFunc) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	p.before()
	return p.queueOwner.Pair(ctx, w, patience)
}
