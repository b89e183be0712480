package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/uptime"
)

// later returns a version of the era after the store's return.
func later(number uint64) uint64 { return table.VersionIn(1, number) }

// plain returns the entry of an endpoint at an address of its own.
func plain(name id.Endpoint) Endpoint {
	return Endpoint{Name: name, Instance: id.Instance(name), Service: "desk", Address: string(name) + ":80", Slots: 1}
}

// present lists the names of the endpoints that may get requests.
func present(l *List) []id.Endpoint {
	var out []id.Endpoint
	for _, e := range l.All() {
		if !e.Leaving {
			out = append(out, e.Name)
		}
	}
	return out
}

// In the copy an endpoint that has said that it leaves is ready.
func TestAReturnOfTheStoreTakesNoLeavingBack(t *testing.T) {
	is := is.New(t)
	l := New()
	leaving := plain("a")
	leaving.Leaving = true
	l.Set(0, 8, []Endpoint{plain("a"), plain("b")})
	l.Set(0, 10, []Endpoint{leaving, plain("b")})
	l.Set(0, later(5), []Endpoint{plain("a"), plain("b")})
	is.Equal(present(l), []id.Endpoint{"b"})
	l.Set(0, later(12), []Endpoint{plain("a"), plain("b")}) // its late heartbeat
	is.Equal(present(l), []id.Endpoint{"b"})
}

// In the copy an endpoint that has ended is listed. The store drops its entry after some
// missed heartbeats.
func TestAnEndpointThatHasEndedGetsNothingWhenTheStoreListsItAgain(t *testing.T) {
	for _, lives := range []bool{false, true} {
		is := is.New(t)
		l := New()
		l.Set(0, 8, []Endpoint{plain("a"), plain("b")})
		l.Set(0, 10, []Endpoint{plain("b")})
		l.Set(time.Second, later(5), []Endpoint{plain("a"), plain("b")})
		is.Equal(present(l), []id.Endpoint{"b"})
		is.Equal(l.Held(), 1)
		l.Set(2*time.Second, later(7), []Endpoint{plain("a"), plain("b"), plain("c")})
		is.Equal(present(l), []id.Endpoint{"b", "c"})
		if !lives {
			l.Set(4*time.Second, later(8), []Endpoint{plain("b"), plain("c")})
		}
		is.True(!l.ReleaseReturned(returnedHold))
		is.Equal(l.ReleaseReturned(time.Second+returnedHold), lives)
		is.Equal(slices.Contains(present(l), "a"), lives)
	}
}

// An endpoint that registered again before the store came back is not held.
func TestAnEndpointThatRegisteredAgainIsNotHeld(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 8, []Endpoint{plain("a")})
	l.Set(0, 9, nil)
	l.Set(0, 10, []Endpoint{plain("a")})
	l.Set(0, later(5), []Endpoint{plain("a")})
	is.Equal(present(l), []id.Endpoint{"a"})
}

// The copy lacks an endpoint that registered after it was taken. It registers again within
// uptime.ReturnGrace, or has ended.
func TestAnEndpointThatTheCopyLacksIsKeptUntilItCouldRegister(t *testing.T) {
	for _, registers := range []bool{true, false} {
		is := is.New(t)
		l := New()
		answer := func(now time.Duration, number uint64, unbroken bool, entries ...Endpoint) {
			l.RecordResponse(later(number), time.Hour+now, unbroken)
			l.Set(now, later(number), entries)
		}
		l.Set(0, 10, []Endpoint{plain("a"), plain("b")})
		answer(time.Second, 5, false, plain("b"))
		is.Equal(present(l), []id.Endpoint{"a", "b"})
		entries := []Endpoint{plain("b")}
		if registers {
			entries = append(entries, plain("a"))
		}
		answer(2*time.Second, 6, true, entries...)
		is.Equal(present(l), []id.Endpoint{"a", "b"})
		answer(time.Second+uptime.ReturnGrace, 7, true, entries...)
		is.Equal(slices.Contains(present(l), "a"), registers)
	}
}

// TestAStartFromACopyHoldsWhatHasEnded guards against requests of a daemon that has just
// started to endpoints whose end only the others have seen, whenever it reads the copy.
func TestAStartFromACopyHoldsWhatHasEnded(t *testing.T) {
	for _, readBefore := range []bool{false, true} {
		is := is.New(t)
		former, l := New(), New()
		former.MarkLeaving("b")
		former.Set(0, 8, []Endpoint{plain("a"), plain("b"), plain("c"), plain("d")})
		former.Set(0, 9, []Endpoint{plain("b"), plain("c")})
		copied := []Endpoint{plain("a"), plain("b"), plain("c")}
		if readBefore {
			l.Set(0, later(5), copied)
		}
		for range 2 { // two others tell the same
			l.AdoptEndings(time.Second, former.Endings())
		}
		l.Set(2*time.Second, later(6), copied)
		is.Equal(present(l), []id.Endpoint{"c"})
		is.True(!l.ReleaseReturned(returnedHold))
		is.True(l.ReleaseReturned(time.Second + returnedHold))
		is.Equal(present(l), []id.Endpoint{"a", "c"}) // it is still listed: it lives
	}
}
