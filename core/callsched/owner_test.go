package callsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// adoption returns the report of a former owner's grant in use.
func adoption(name string, e id.Endpoint) sched.Adopt {
	former := id.Process{Daemon: "former", Incarnation: 1}
	return sched.Adopt{Want: want(name), Grant: sched.Grant{Request: id.Request(name), Decode: e, Reservation: 7, Owner: former}}
}

// TestNewOwnerGrantsCarefully: a new owner knows nothing of the calls in flight. It grants at
// once, since a target may be shorter than the time until it knows, but only a half of the
// places, and what it adopts counts.
func TestNewOwnerGrantsCarefully(t *testing.T) {
	is := is.New(t)
	l := New(Options{Pool: "p", Self: daemon})
	l.Configure(start, document(1))
	is.Equal(len(l.Want(start, want("a"))), 1)
	l.Adopt(start+ms, adoption("old", "e0"))
	is.Equal(len(l.Want(start+2*ms, want("b"))), 0)
	is.Equal(len(l.Tick(start+DefaultSettle)), 1)
	is.Equal(l.Snapshot().Held, 3)
}

// TestLeaseWhileNothingIsKnown: the first calls of a slow service take longer than anything
// that a new owner assumes; their places are not given to others.
func TestLeaseWhileNothingIsKnown(t *testing.T) {
	is := is.New(t)
	l := New(Options{Pool: "p", Self: daemon})
	l.Configure(start-time.Second, document(1))
	l.Want(start, want("a"))
	l.Tick(start + 1900*ms)
	is.Equal(l.Snapshot().Held, 1)
	l.Tick(start + 2000*ms) // the caller has gone
	is.Equal(l.Snapshot().Held, 0)
}

// TestAdoptedGrantEnds: the end of a former owner's grant frees its place.
func TestAdoptedGrantEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(1))
	a := adoption("old", "e0")
	f.Adopt(start, a)
	f.Adopt(start+ms, a) // reported twice
	is.Equal(f.Snapshot().Held, 1)
	f.end(start+20*ms, &a.Grant)
	is.Equal(f.Snapshot().Held, 0)
}

// TestAdoptionGoesBeforeOwnDecision: two owners have granted a call. The daemon uses the
// first grant, gives the second back and reports the first; in either order it counts once.
func TestAdoptionGoesBeforeOwnDecision(t *testing.T) {
	for _, releasedFirst := range []bool{true, false} {
		is := is.New(t)
		f := newFixture(t, document(2))
		second := f.granted(f.Want(start, want("a")))
		release := sched.Progress{Request: "a", Reservation: second.Reservation, Phase: sched.PhaseCancelled}
		if releasedFirst {
			f.Progress(start+ms, release)
		}
		first := adoption("a", "e1")
		f.Adopt(start+ms, first)
		if !releasedFirst {
			f.Progress(start+2*ms, release)
		}
		is.Equal(f.Snapshot().Held, 1)
		is.Equal(f.endpoints["e1"].inFlight, 1)
		f.end(start+60*ms, &first.Grant)
		is.Equal(f.Snapshot().Held, 0)
	}
}

// TestMemoryIsBounded: many teams and calls come and go, and many calls wait.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	l := New(Options{Pool: "p", Self: daemon, MaxQueue: 10, MaxEnded: 20})
	l.Configure(start, document(1))
	now := start + time.Second
	for i := range 2 * maxTeams {
		now += 10 * ms
		w := want(fmt.Sprint(i))
		w.Team = id.Team(fmt.Sprint(i))
		w.Target, w.Patience, w.Lifetime = time.Hour, time.Hour, time.Hour
		l.Want(now, w)
		l.Withdraw(now+ms, w.Request)
	}
	is.True(len(l.teams.list) <= maxTeams+1)
	is.Equal(len(l.teams.list), len(l.teams.byName))
	for i := range 100 {
		w := want(fmt.Sprintf("waits-%d", i))
		w.Target, w.Patience, w.Lifetime = time.Hour, time.Hour, time.Hour
		l.Want(now, w)
	}
	is.Equal(len(l.queue), 10)
	is.Equal(len(l.waiting), 10)
	is.True(l.ended.Len() <= 20)
	is.True(l.Stats().Refused.QueueFull > 0)
}

// randomEvent applies one random event to a ledger.
func randomEvent(f *fixture, rng *rand.Rand, now time.Duration, held *[]*sched.Grant) []sched.Action {
	name := id.Request(fmt.Sprint(rng.IntN(400)))
	endpoint := id.Endpoint(fmt.Sprintf("e%d", rng.IntN(4)))
	switch rng.IntN(12) {
	case 0:
		return f.Withdraw(now, name)
	case 1:
		return f.Load(now, sched.Load{Endpoint: endpoint, Reachable: rng.IntN(4) > 0, Leaving: rng.IntN(8) == 0})
	case 2:
		return f.Adopt(now, adoption(string(name), endpoint))
	case 3:
		return f.ProcessGone(now, id.Process{Daemon: id.Daemon(fmt.Sprint(rng.IntN(20)))})
	case 4:
		return f.Configure(now, document(1+rng.IntN(4), live.Team{Name: "1", Weight: 1}, live.Team{Name: "2", Weight: 2}))
	case 5, 6, 7:
		if len(*held) == 0 {
			return nil
		}
		g := (*held)[rng.IntN(len(*held))]
		if rng.IntN(4) == 0 {
			return f.fail(now, g, sched.Progress{Full: rng.IntN(2) == 0, Unreachable: rng.IntN(3) == 0, TimedOut: rng.IntN(3) == 0})
		}
		return f.end(now, g)
	case 8:
		return f.Tick(now)
	default:
		w := want(string(name))
		w.From = id.Process{Daemon: id.Daemon(fmt.Sprint(rng.IntN(20)))}
		w.Team, w.Priority = id.Team(fmt.Sprint(rng.IntN(4))), rng.IntN(10)
		w.Age = time.Duration(rng.IntN(400)) * ms
		return f.Want(now, w)
	}
}

// TestRandomEvents: whatever comes, in whatever order, the counts agree with the grants, the
// answers are well formed, and once all is quiet nothing stays held or queued.
func TestRandomEvents(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, seed))
		f := newFixture(t, document(4))
		var held []*sched.Grant
		now := start
		for range 3000 {
			now += time.Duration(rng.IntN(5000)) * time.Microsecond
			for _, a := range randomEvent(f, rng, now, &held) {
				is.True((a.Grant == nil) != (a.Refusal == nil))
				if a.Grant != nil {
					held = append(held, a.Grant)
				}
			}
			for _, e := range f.order {
				is.True(e.inFlight >= 0)
			}
			is.Equal(len(f.queue), len(f.waiting))
		}
		f.Configure(now, document(4))
		for range 1000 {
			now += 5 * ms
			f.Tick(now)
		}
		is.Equal(f.Snapshot().Held, 0)
		is.Equal(f.Snapshot().Queued, 0)
		for _, team := range f.teams.list {
			is.Equal(team.queued, 0)
			is.Equal(team.granted, 0)
		}
	}
}
