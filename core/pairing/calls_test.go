package pairing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

const answerIn = 50 * ms

func call(r id.Request) sched.Want {
	w := want(r)
	w.AnswerIn = answerIn
	w.Lifetime = time.Minute
	return w
}

// newCallRequester returns a Requester that has sent the calls r0 to rN to the owner d2.
func newCallRequester(is *is.I, calls int) *Requester {
	a := New(self, Options{})
	a.Tick(0)
	a.SetMembers(0, membersOwnedBy(a, "d2"))
	for n := range calls {
		is.Equal(len(a.Request(0, call(requestName(n)), patience).Messages), 1)
	}
	return a
}

func requestName(n int) id.Request { return id.Request(fmt.Sprintf("r%03d", n)) }

// run ticks a Requester at each time that it names, up to a time.
func run(a *Requester, until time.Duration) Output {
	var out Output
	for a.Next() <= until {
		out.append(a.Tick(a.Next()))
	}
	return out
}

func wants(out Output) int {
	n := 0
	for _, m := range out.Messages {
		if m.Want != nil {
			n++
		}
	}
	return n
}

// TestAnOwnerThatDoesNotAnswerACallLeavesItToItsDaemon checks an owner that is frozen when a
// call comes: the call's daemon chooses well before the membership gives the owner up.
func TestAnOwnerThatDoesNotAnswerACallLeavesItToItsDaemon(t *testing.T) {
	is := is.New(t)
	a := newCallRequester(is, 1)
	is.Equal(a.Next(), answerIn)
	out := run(a, answerIn)
	is.Equal(len(out.Answers), 1)
	is.True(errors.Is(out.Answers[0].Err.Cause, ErrUndecided))
	is.True(out.Messages[0].Withdraw != nil) // a late grant would be lost
	is.Equal(a.Len(), 0)
}

// TestAQueuedCallWaitsForItsOwner checks that a call which the owner has queued is not given
// up while the owner answers, whomever it answers, and costs few messages.
func TestAQueuedCallWaitsForItsOwner(t *testing.T) {
	is := is.New(t)
	a := newCallRequester(is, 1)
	a.Queued("d2", Queued{Pool: testPool, Request: "r000"})
	sent := 0
	for now := 10 * ms; now < patience; now += 10 * ms {
		out := run(a, now)
		is.Equal(len(out.Answers), 0)
		sent += wants(out)
		a.Heard(now, "d2")
	}
	is.True(sent <= 3) // only resends, at growing intervals
	is.Equal(len(a.Granted(testPool, sched.Grant{Request: "r000", Decode: "e", Reservation: 1}).Answers), 1)
}

// TestAnOwnerThatFallsSilentIsAskedOnceForAllItsQueue checks an owner that is frozen with
// 200 calls in its queue: one message finds that out, and all of them go on.
func TestAnOwnerThatFallsSilentIsAskedOnceForAllItsQueue(t *testing.T) {
	is := is.New(t)
	const calls = 200
	a := newCallRequester(is, calls)
	for n := range calls {
		a.Queued("d2", Queued{Pool: testPool, Request: requestName(n)})
	}
	a.Heard(0, "d2")
	out := run(a, 4*answerIn)
	is.Equal(len(out.Answers), calls)
	is.Equal(wants(out), 1)
	is.Equal(out.Owners, []OwnerChange{{Owner: "d2", Silent: true}})
	is.Equal(a.Len(), 0)
}

// TestASilentOwnerIsProbedByOneCall checks that calls don't each wait anew for an owner that
// is known to be silent, and that its queue is used again once it answers.
func TestASilentOwnerIsProbedByOneCall(t *testing.T) {
	is := is.New(t)
	a := newCallRequester(is, 1)
	out := run(a, 2*answerIn)
	now := 2 * answerIn
	for now < 10*answerIn && len(out.Owners) == 0 {
		out = a.Request(now, call("next"), patience)
		out.append(run(a, now+answerIn))
		now += answerIn
	}
	is.Equal(out.Owners, []OwnerChange{{Owner: "d2", Silent: true}})

	probes := 0
	for n := range 100 {
		probes += wants(a.Request(now, call(requestName(n)), patience))
		now += ms
	}
	is.Equal(probes, 0)
	now += silentProbe
	is.Equal(wants(a.Request(now, call("probe"), patience)), 1)
	out = a.Request(now, call("beside"), patience)
	is.Equal(len(out.Answers), 1)
	is.True(errors.Is(out.Answers[0].Err.Cause, ErrUndecided))

	is.Equal(a.Heard(now+ms, "d2").Owners, []OwnerChange{{Owner: "d2"}})
	is.Equal(wants(a.Request(now+ms, call("after"), patience)), 1)
}

// TestCallsOfADeadOwnerAskTheNextOne checks 200 calls that wait when the membership declares
// their owner dead: all ask the new owner soon, but not in one burst.
func TestCallsOfADeadOwnerAskTheNextOne(t *testing.T) {
	is := is.New(t)
	const calls = 200
	a := newCallRequester(is, calls)
	for n := range calls {
		a.Queued("d2", Queued{Pool: testPool, Request: requestName(n)})
	}
	const verdictAt = 30 * ms
	out := a.SetMembers(verdictAt, membersOwnedBy(a, "d3"))
	is.Equal(wants(out), movedAtOnce)
	for _, m := range out.Messages {
		is.Equal(m.To, id.Daemon("d3"))
	}
	later := run(a, verdictAt+calls/movedAtOnce*movePause)
	is.Equal(wants(later), calls-movedAtOnce)
	is.Equal(len(later.Answers), 0)
}

// TestAStallOfThisDaemonIsNotTheOwnersSilence checks answers that wait in this daemon's ring
// while it gets no processor time.
func TestAStallOfThisDaemonIsNotTheOwnersSilence(t *testing.T) {
	is := is.New(t)
	a := newCallRequester(is, 1)
	late := answerIn + 2*stallThreshold
	out := a.Tick(late)
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Owners), 0)
	out = a.Granted(testPool, sched.Grant{Request: "r000", Decode: "e", Reservation: 1})
	is.Equal(len(out.Answers), 1)
	is.True(out.Answers[0].Grant != nil)
}

// TestAGrantedCallIsAdoptedAsSent checks what a new owner learns of a call under way, whose
// daemon reports only its end.
func TestAGrantedCallIsAdoptedAsSent(t *testing.T) {
	is := is.New(t)
	a := newCallRequester(is, 1)
	a.Granted(testPool, sched.Grant{Request: "r000", Decode: "e", Reservation: 4, Owner: id.Process{Daemon: "d2"}})
	out := a.SetMembers(20*ms, membersOwnedBy(a, "d3"))
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].Adopt.Phase, sched.PhaseDecoding)
	is.Equal(out.Messages[0].Adopt.Grant.Reservation, uint64(4))
}

// TestALostWantIsNoSilenceLater checks a single call whose Want was lost, long before the
// next one: the owner is given its time for the new call before it counts as silent.
func TestALostWantIsNoSilenceLater(t *testing.T) {
	is := is.New(t)
	a := newCallRequester(is, 1)
	run(a, time.Second)
	is.Equal(a.Len(), 0) // its daemon chose

	now := 10 * time.Second
	stream := want("stream") // due now and then, whatever the calls are
	a.Request(now-DefaultResend, stream, patience)
	is.Equal(len(a.Request(now-ms, call("later"), patience).Messages), 1)
	out := a.Tick(now)
	is.Equal(len(out.Owners), 0)
}
