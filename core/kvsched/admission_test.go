package kvsched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// withForecast returns a ledger like that of newLedger with both switches on.
func withForecast(t *testing.T, doc *live.Document) *Ledger {
	t.Helper()
	l := New(Options{
		Pool: "p", Self: requester, MemoryShare: 1, ForecastRefusal: true, UrgentReserve: true,
		Violation: func(name, detail string) { t.Errorf("%s: %s", name, detail) },
	})
	l.Configure(start-time.Second, doc)
	l.Tick(start)
	return l
}

// TestRequestWithoutRoomInTimeIsRefusedAtOnce: the answers that hold all engines take 2 s
// more, which is known from the first moment of the queue.
func TestRequestWithoutRoomInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := withForecast(t, document(4, 4, 13000))
	fillPool(t, l, 4, 9000, 3000)
	soon := start + 8*time.Second
	l.Want(soon, want("early", 5000, 100))
	patient := want("patient", 5000, 100)
	patient.Target, patient.Patience = 8*time.Second, 9*time.Second
	l.Want(soon, patient)
	refused := refusals(ticks(l, soon, soon+secondLookAfter))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Request, id.Request("early"))
	is.True(strings.HasPrefix(refused[0].Reason, "memory: "))
	is.True(refused[0].RetryAfter >= time.Second)
	is.Equal(refused[0].RetryAfter%time.Second, time.Duration(0))
	is.Equal(l.Admission().Refused, uint64(1))
}

// TestLostEnginesRefuseThoseThatWait: of two engines that will have room in time, the one on
// which the waiting requests counted is lost.
func TestLostEnginesRefuseThoseThatWait(t *testing.T) {
	is := is.New(t)
	l := withForecast(t, document(8, 2, 10000))
	fillPool(t, l, 1, 9000, 900)
	short := fillPool2(t, l, "short", 9000, 60)
	w := want("waits", 9000, 100)
	l.Want(start, w)
	is.Equal(len(refusals(ticks(l, start, start+150*time.Millisecond))), 0)
	now := start + 155*time.Millisecond
	actions := l.Load(now, sched.Load{Endpoint: short.Decode, Reachable: false})
	refused := refusals(append(actions, ticks(l, now, now+50*time.Millisecond)...))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Request, id.Request("waits"))
}

// fillPool2 grants one request and lets it decode.
func fillPool2(t *testing.T, l *Ledger, name string, prompt, output int) *sched.Grant {
	t.Helper()
	g := grants(l.Want(start, want(name, prompt, output)))
	if len(g) != 1 {
		t.Fatal("no grant")
	}
	l.Progress(start, done(g[0], sched.PhaseDecoding))
	return g[0]
}

// TestShorterTargetGoesFirstWithinAPriority: a team's own priority overrides those of its
// routes, and those with a short target were refused while others waited.
func TestShorterTargetGoesFirstWithinAPriority(t *testing.T) {
	is := is.New(t)
	for _, reserve := range []bool{false, true} {
		l := New(Options{Pool: "p", Self: requester, MemoryShare: 1, UrgentReserve: reserve})
		l.Configure(start-time.Second, document(4, 1, 10000))
		l.Tick(start)
		running := fillPool(t, l, 1, 9000, 10)
		slow := want("slow", 9000, 10)
		slow.Target = 2 * time.Second
		l.Want(start, slow)
		l.Want(start+time.Millisecond, want("urgent", 9000, 10))
		got := grants(l.Progress(start+10*time.Millisecond, done(running[0], sched.PhaseDone)))
		is.Equal(len(got), 1)
		is.Equal(got[0].Request == "urgent", reserve)
	}
}

// reserveLoad sends requests of two priorities to a small pool that is nearly full and returns
// the granted ones of the lower priority.
func reserveLoad(t *testing.T, urgentEach, lowPriority int) int {
	t.Helper()
	l := withForecast(t, document(8, 4, 13000))
	fillPool(t, l, 4, 6500, 900)
	now, urgent := start, 0
	for range 5 {
		now += 100 * time.Millisecond
		for range urgentEach {
			w := want(fmt.Sprint("urgent-", urgent), 5000, 100)
			w.Priority = 9
			urgent++
			for _, g := range grants(l.Want(now, w)) {
				l.Progress(now, sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseCancelled})
			}
		}
	}
	granted := 0
	for i := range 4 {
		w := want(fmt.Sprint("low-", i), 5000, 100)
		w.Priority = lowPriority
		granted += len(grants(l.Want(now, w)))
	}
	return granted
}

// TestRoomIsKeptForTheUrgent: four engines have room for one request more each; some of it is
// kept while urgent requests arrive, and all of it is given away if none do, or if all are
// equally urgent.
func TestRoomIsKeptForTheUrgent(t *testing.T) {
	is := is.New(t)
	is.Equal(reserveLoad(t, 0, 5), 4)
	is.Equal(reserveLoad(t, 2, 9), 4)
	kept := 4 - reserveLoad(t, 2, 5)
	is.True(kept > 0)
	is.True(kept < 4)
}

// TestCallerThatComesAtItsTimeKeepsItsPlace: it goes before one that arrived after its first
// request, and is known by what it asks for.
func TestCallerThatComesAtItsTimeKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	l := withForecast(t, document(8, 4, 13000))
	running := fillPool(t, l, 4, 9000, 3000)
	first := want("first", 9000, 100)
	first.Content = 7
	soon := start + 9*time.Second // the answers take a second more
	refused := refusals(append(l.Want(soon, first), ticks(l, soon, soon+secondLookAfter)...))
	is.Equal(len(refused), 1)
	back := soon + secondLookAfter + refused[0].RetryAfter
	other := want("other", 9000, 100)
	l.Want(back-time.Millisecond, other)
	again := first
	again.Request = "again"
	l.Want(back, again)
	got := grants(l.Progress(back+time.Millisecond, done(running[0], sched.PhaseDone)))
	is.Equal(len(got), 1)
	is.Equal(got[0].Request, id.Request("again"))
	is.Equal(l.Admission().Bookings.Kept, uint64(1))
}

// TestSwitchesChangeNothingWhileRoomIsFree: the grants of a load of a third of the pool's
// capacity, of three priorities, are the same to the byte with both switches on and off.
func TestSwitchesChangeNothingWhileRoomIsFree(t *testing.T) {
	is := is.New(t)
	play := func(on bool) []string {
		l := New(Options{Pool: "p", Self: requester, ForecastRefusal: on, UrgentReserve: on})
		l.Configure(start-time.Second, document(4, 8, 30000))
		l.Tick(start)
		var log []string
		ends := map[time.Duration][]*sched.Grant{}
		for i := range 400 {
			now := start + time.Duration(i)*25*time.Millisecond
			var actions []sched.Action
			for _, g := range ends[now] {
				actions = append(actions, l.Progress(now, done(g, sched.PhaseDone))...)
			}
			w := want(fmt.Sprint(i), 500+i*37%4000, 50+i*53%800)
			w.Priority = i % 3
			w.Target = time.Duration(1+i%3) * 700 * time.Millisecond
			actions = append(actions, l.Want(now, w)...)
			for _, g := range grants(actions) {
				log = append(log, fmt.Sprint(now, *g))
				l.Progress(now, done(g, sched.PhaseDecoding))
				end := now + time.Duration(20+i%40)*25*time.Millisecond
				ends[end] = append(ends[end], g)
			}
		}
		return log
	}
	is.True(slices.Equal(play(true), play(false)))
	is.Equal(len(play(true)), 400)
}
