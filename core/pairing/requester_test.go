package pairing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	ms       = time.Millisecond
	patience = time.Second
	testPool = id.Pool("packets")
)

var (
	self = id.Process{Daemon: "d1", Incarnation: 3}
	all  = []id.Daemon{"d1", "d2", "d3"}
)

// membersOwnedBy returns the members without those that rank before owner.
func membersOwnedBy(a *Requester, owner id.Daemon) []id.Daemon {
	members := append([]id.Daemon(nil), all...)
	for range all {
		a.members = members
		first := a.Owner(testPool)
		if first == owner {
			return members
		}
		members = without(members, first)
	}
	return members
}

func without(members []id.Daemon, d id.Daemon) []id.Daemon {
	var out []id.Daemon
	for _, m := range members {
		if m != d {
			out = append(out, m)
		}
	}
	return out
}

// newWaitingRequester returns a Requester that has sent the Want of request r to
// owner.
func newWaitingRequester(is *is.I, owner id.Daemon) *Requester {
	a := New(self, Options{})
	a.SetMembers(0, membersOwnedBy(a, owner))
	out := a.Request(0, want("r"), patience)
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].To, owner)
	return a
}

func want(r id.Request) sched.Want { return sched.Want{Request: r, Pool: testPool, From: self} }

func grantOf(owner id.Daemon, number uint64) sched.Grant {
	return sched.Grant{
		Request: "r", Prefill: "p", Decode: "e", Reservation: number,
		Owner: id.Process{Daemon: owner, Incarnation: 1},
	}
}

func TestWaitingWantIsSentToTheNewOwner(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	out := a.SetMembers(40*ms, membersOwnedBy(a, "d3"))
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].To, id.Daemon("d3"))
	is.Equal(out.Messages[0].Want.Request, id.Request("r"))
	is.Equal(out.Messages[0].Want.Age, 40*ms) // includes the time already waited

	// Only the new owner's refusal counts.
	refusal := sched.Refusal{Request: "r", Code: verdict.CodeOverloaded, RetryAfter: ms}
	is.Equal(len(a.Refused("d2", refusal).Answers), 0)
	answers := a.Refused("d3", refusal).Answers
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Err.Verdict, verdict.NotRun)
	is.Equal(answers[0].Err.RetryAfter, ms)
	is.Equal(len(a.Refused("d3", refusal).Answers), 0) // answered once
	is.Equal(a.Len(), 0)
}

func TestGrantInUseIsAdoptedByTheNewOwner(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	g := grantOf("d2", 7)
	is.Equal(len(a.Granted(testPool, g).Answers), 1)
	a.Progress(0, sched.Progress{Request: "r", Phase: sched.PhaseTransferring})
	out := a.SetMembers(0, membersOwnedBy(a, "d3"))
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].To, id.Daemon("d3"))
	is.Equal(out.Messages[0].Adopt.Grant, g)
	is.Equal(out.Messages[0].Adopt.Phase, sched.PhaseTransferring)

	done := a.Progress(0, sched.Progress{Request: "r", Phase: sched.PhaseDone})
	is.Equal(done.Messages[0].To, id.Daemon("d3"))
	is.Equal(done.Messages[0].Progress.Progress.Reservation, uint64(7))
	is.Equal(a.Len(), 0)
	is.Equal(len(a.Progress(0, sched.Progress{Request: "r", Phase: sched.PhaseDone}).Messages), 0)
}

func TestGrantForAWithdrawnRequestIsReleased(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	out := a.Withdraw("r")
	is.Equal(out.Messages[0].Withdraw.Request, id.Request("r"))
	out = a.Granted(testPool, grantOf("d3", 4))
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Messages), 1)
	checkReleased(is, out.Messages[0], "d3", 4)
}

func checkReleased(is *is.I, m Message, to id.Daemon, number uint64) {
	is.Helper()
	is.Equal(m.To, to)
	is.Equal(m.Progress.Pool, testPool)
	is.Equal(m.Progress.Progress, sched.Progress{Request: "r", Reservation: number, Phase: sched.PhaseCancelled})
}

func TestGrantsOfTwoOwners(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	a.SetMembers(0, membersOwnedBy(a, "d3"))
	is.Equal(len(a.Granted(testPool, grantOf("d2", 1)).Answers), 1)
	out := a.Granted(testPool, grantOf("d3", 1))
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Messages), 2)
	checkReleased(is, out.Messages[0], "d3", 1)
	is.Equal(out.Messages[1].To, id.Daemon("d3"))
	is.Equal(out.Messages[1].Adopt.Grant.Owner.Daemon, id.Daemon("d2")) // the grant in use
	is.Equal(len(a.Granted(testPool, grantOf("d2", 1)).Messages), 0)    // a duplicate
}

// If the owner considers its first grant expired and sends another, the requester
// must keep the first, release the second and report the first to the owner.
func TestReplacementOfADelayedGrantIsReleased(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	a.Granted(testPool, grantOf("d2", 1))
	out := a.Granted(testPool, grantOf("d2", 2))
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Messages), 2)
	checkReleased(is, out.Messages[0], "d2", 2)
	is.Equal(out.Messages[1].Adopt.Grant.Reservation, uint64(1))
}

func TestResendAndTimeout(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	is.Equal(len(a.Tick(DefaultResend-1).Messages), 0)
	out := a.Tick(DefaultResend)
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].Want.Age, DefaultResend)
	end := patience + DefaultMargin
	is.Equal(len(a.Tick(end-1).Answers), 0)
	out = a.Tick(end)
	is.Equal(len(out.Answers), 1)
	is.Equal(out.Answers[0].Err.Verdict, verdict.NotRun)
	is.Equal(out.Answers[0].Err.Code, verdict.CodeUnavailable)
	is.Equal(out.Messages[0].Withdraw.Request, id.Request("r")) // the owner must drop the request
	is.Equal(a.Len(), 0)
}

func TestGrantedRequestDoesNotTimeOut(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	a.Granted(testPool, grantOf("d2", 1))
	is.Equal(a.Tick(time.Hour), Output{})
	is.Equal(a.Len(), 1)
}

func TestResumeNotifiesTheOwner(t *testing.T) {
	is := is.New(t)
	a := New(self, Options{})
	a.SetMembers(0, membersOwnedBy(a, "d3"))
	out := a.Resume(0, want("r"), sched.Grant{Request: "r", Decode: "e", Owner: self})
	is.Equal(len(out.Messages), 1)
	is.Equal(out.Messages[0].To, id.Daemon("d3"))
	is.Equal(out.Messages[0].Adopt.Phase, sched.PhaseDecoding)
}

func TestLocalSendsToItself(t *testing.T) {
	is := is.New(t)
	a := New(self, Options{Local: true})
	a.SetMembers(0, all)
	out := a.Request(0, want("r"), patience)
	is.Equal(out.Messages[0].To, self.Daemon)
	is.Equal(len(a.SetMembers(0, all[1:]).Messages), 0)
}

// Without the time spent in the phase, a new owner would assume that the whole
// answer is still to be generated.
func TestAdoptCarriesTheTimeInThePhase(t *testing.T) {
	is := is.New(t)
	a := New(id.Process{Daemon: "a", Incarnation: 1}, Options{})
	a.SetMembers(0, []id.Daemon{"a", "b"})
	owner := a.Owner("p")
	other := map[id.Daemon]id.Daemon{"a": "b", "b": "a"}[owner]
	a.Request(time.Second, sched.Want{Request: "r", Pool: "p", Age: 100 * time.Millisecond}, time.Second)
	a.Granted("p", sched.Grant{Request: "r", Reservation: 7, Owner: id.Process{Daemon: owner}})
	a.Progress(2*time.Second, sched.Progress{Request: "r", Phase: sched.PhaseDecoding})
	a.Progress(3*time.Second, sched.Progress{Request: "r", Phase: sched.PhaseDecoding})
	out := a.SetMembers(5*time.Second, []id.Daemon{other})
	is.Equal(len(out.Messages), 1)
	adopt := out.Messages[0].Adopt
	is.Equal(adopt.InPhase, 3*time.Second)
	is.Equal(adopt.Want.Age, 4100*time.Millisecond)
}

// This daemon has found the service and the permission in its configuration. An
// owner that refuses for lack of either has another version of the configuration,
// so the caller must get an error that can be retried.
func TestRefusalByAnotherConfigurationCanBeRetried(t *testing.T) {
	for _, code := range []verdict.Code{verdict.CodeUnknownService, verdict.CodeForbidden} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			a := New(id.Process{Daemon: "d1", Incarnation: 1}, Options{Local: true})
			a.Request(0, sched.Want{Request: "r", Pool: "p"}, time.Second)
			out := a.Refused("d1", sched.Refusal{Request: "r", Code: code, Reason: "not here"})
			is.Equal(len(out.Answers), 1)
			err := out.Answers[0].Err
			is.Equal(err.Code, verdict.CodeUnavailable)
			is.Equal(err.Verdict, verdict.NotRun)
			is.True(err.RetryAfter > 0)
		})
	}
}
