package callsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestRepeatedWant: an answer or a Want is lost, and the daemon asks again: the call is
// granted once, and not again once it has ended.
func TestRepeatedWant(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	g := f.granted(f.Want(start, want("a")))
	is.Equal(*f.granted(f.Want(start+20*ms, want("a"))), *g)
	is.Equal(f.Snapshot().Held, 1)
	f.end(start+60*ms, g)
	is.Equal(f.refused(f.Want(start+70*ms, want("a"))).Code, verdict.CodeSuperseded)
	is.Equal(f.Snapshot().Held, 0)
}

// TestRefusalIsRepeated: the refusal is lost, and the daemon asks again.
func TestRefusalIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	f.fill(start)
	hopeless := want("a")
	hopeless.Target, hopeless.Patience = 10*ms, 10*ms
	first := f.refused(f.Want(start, hopeless))
	is.Equal(*f.refused(f.Want(start+5*ms, hopeless)), *first)
}

// TestLostGrantGivesItsPlaceBack: no end is ever reported. The place comes back after some
// times the time in service, and the daemon that asks again gets a grant.
func TestLostGrantGivesItsPlaceBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	lost := f.granted(f.Want(start, want("lost")))
	due := f.Next()
	is.True(due > start+100*ms && due < start+400*ms)
	f.Tick(due)
	is.Equal(f.Snapshot().Held, 0)
	again := want(string(lost.Request))
	again.Age = due - start
	g := f.granted(f.Want(due, again))
	is.True(g.Reservation != lost.Reservation)
	f.end(due+ms, lost) // the first one had arrived after all
	is.Equal(f.Snapshot().Held, 1)
	f.end(due+50*ms, g)
	is.Equal(f.Snapshot().Held, 0)
}

// TestEndAfterTheLease: a call takes longer than its lease. Its end is harmless, and shows
// that the endpoint is slow.
func TestEndAfterTheLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	slow := f.granted(f.Want(start, want("slow")))
	f.Tick(f.Next())
	is.Equal(f.Snapshot().Held, 0)
	f.Progress(start+time.Second, sched.Progress{
		Request: slow.Request, Reservation: slow.Reservation, Phase: sched.PhaseDone, ServiceTime: time.Second,
	})
	is.Equal(f.Snapshot().Held, 0)
	is.Equal(f.Stats().EndedAfterLapse, uint64(1))
	is.True(f.limiter.Expected(start+time.Second, "e0", 1) > 50*ms)
	is.Equal(f.refused(f.Want(start+time.Second, want("slow"))).Code, verdict.CodeSuperseded)
}

// TestLeaseEndsWithTheCaller: the endpoints are slow, the caller is gone before some times
// the time in service; a call that is not gone long is not given up within round trips.
func TestLeaseEndsWithTheCaller(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	short := want("short")
	short.Lifetime = 120 * ms
	f.Want(start, short)
	is.Equal(f.Next(), start+120*ms)
	gone := want("gone")
	gone.Lifetime, gone.Age = 120*ms, 119*ms
	f.Want(start, gone)
	is.True(f.Next() >= start+minLease)
}

// TestStalledOwner: the owner's process stands still for longer than all leases. The ends of
// the calls wait in its mailbox, so that no endpoint counts as silent and no call is refused.
func TestStalledOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	running := f.fill(start)
	now := start + 2*time.Second
	is.Equal(len(f.Want(now, want("a"))), 0) // waits
	f.granted(f.end(now, running[0]))
	for _, g := range running[1:] {
		f.end(now, g)
	}
	is.Equal(f.Stats().Lapsed, uint64(0))
	is.Equal(f.Stats().Refused, Refused{})
	is.Equal(f.Snapshot().Held, 1)
}

// TestSilentEndpoint: an endpoint accepts calls and answers none, so that their leases lapse
// one after another. It gets single calls until one of them ends; the other gets the rest.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	now := start
	f.fill(now)
	for now < start+400*ms { // until all leases have lapsed
		now += 5 * ms
		f.Tick(now)
	}
	is.True(f.endpoints["e0"].silent())
	grants := f.fill(now)
	is.Equal(len(grants), 2)
	f.end(now+50*ms, grants[0])
	is.True(!f.endpoints[grants[0].Decode].silent())
	is.True(f.endpoints[grants[1].Decode].silent())
}
