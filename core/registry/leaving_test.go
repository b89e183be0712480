package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// leavingNames lists the endpoints that are present and leave.
func leavingNames(l *List) []id.Endpoint {
	var out []id.Endpoint
	for _, e := range l.All() {
		if e.Leaving {
			out = append(out, e.Name)
		}
	}
	return out
}

// TestAnEndpointThatSaidThatItLeavesIsNotReadyAgain guards against requests to an endpoint
// that leaves since its entry says ready: the entry is late, is written again, or comes
// back.
func TestAnEndpointThatSaidThatItLeavesIsNotReadyAgain(t *testing.T) {
	is := is.New(t)
	l := New()
	ready := startedEntry("a", 100, "1")
	draining := ready
	draining.Leaving = true
	l.Set(0, 1, []Endpoint{ready})
	l.MarkLeaving(ready.Name)
	is.Equal(leavingNames(l), []id.Endpoint{"a@100"})
	for at, entries := range [][]Endpoint{{ready}, {draining}, {ready}, nil, {ready}} {
		l.Set(time.Duration(at)*time.Second, uint64(at+2), entries)
		is.Equal(len(leavingNames(l)), len(entries))
	}
}

// TestALeavingBelongsToOneStart checks that a new start of an instance begins without the
// word of the former one, also if its entry does not say yet that it has restarted.
func TestALeavingBelongsToOneStart(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{startedEntry("a", 100, "1")})
	l.MarkLeaving("a@100")
	is.True(l.Restarted("a", 200, live.RoleDecode))
	is.Equal(names(l), []id.Endpoint{"a@200"})
	is.Equal(len(leavingNames(l)), 0)
	l.Set(time.Second, 2, []Endpoint{startedEntry("a", 200, "1")})
	is.Equal(len(leavingNames(l)), 0)
}

// TestAnEndpointThatSaidThatItLeavesIsNotKeptDuringAnOutage checks that its entry counts as
// gone when it goes missing: its endpoint will not register again.
func TestAnEndpointThatSaidThatItLeavesIsNotKeptDuringAnOutage(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{entry("a", "1"), entry("b", "2")})
	l.MarkLeaving("a")
	l.StoreLost()
	l.Set(time.Second, 2, nil)
	is.Equal(names(l), []id.Endpoint{"b"})
}

// TestALeavingBeforeTheEntryIsKnownCounts checks a word that another daemon has passed on
// before this daemon has the entry.
func TestALeavingBeforeTheEntryIsKnownCounts(t *testing.T) {
	is := is.New(t)
	l := New()
	l.MarkLeaving("a")
	l.Set(0, 1, []Endpoint{entry("a", "1")})
	is.Equal(leavingNames(l), []id.Endpoint{"a"})
}

// TestAPresentEndpointThatLeavesIsNotForgotten checks that words of others push out only
// the words of endpoints that are gone.
func TestAPresentEndpointThatLeavesIsNotForgotten(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{entry("a", "1")})
	l.MarkLeaving("a")
	for n := range 2 * maxSaidLeaving {
		l.MarkLeaving(id.Endpoint(fmt.Sprint(n)))
		l.All()
	}
	is.Equal(leavingNames(l), []id.Endpoint{"a"})
}

// TestRandomLeavings drives a list with starts, entries that say ready or draining, lost
// and returning entries, outages of the store and endpoints' own words. It checks that an
// endpoint that has said that it leaves is never listed as one that takes work, and that no
// other is listed as leaving but by its entry.
func TestRandomLeavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := time.Duration(0)
		rows := map[id.Instance]Endpoint{}
		startedUnixMS := map[id.Instance]int64{}
		said, byEntry := map[id.Endpoint]bool{}, map[id.Endpoint]bool{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			instance := id.Instance(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "instance")))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				startedUnixMS[instance] += int64(rapid.IntRange(1, 5).Draw(t, "later"))
				rows[instance] = startedEntry(instance, startedUnixMS[instance], "address of "+string(instance))
			case 1:
				if e, ok := rows[instance]; ok {
					e.Leaving = rapid.Bool().Draw(t, "draining")
					rows[instance] = e
					byEntry[e.Name] = byEntry[e.Name] || e.Leaving
				}
			case 2:
				delete(rows, instance)
			case 3:
				l.StoreLost()
			case 4:
				l.StoreBack(now)
			case 5:
				name := Incarnation(instance, startedUnixMS[instance])
				l.MarkLeaving(name)
				said[name] = true
			default:
				l.DropRemoved()
			}
			l.Set(now, 1, slices.Collect(maps.Values(rows)))
			for _, e := range l.All() {
				if said[e.Name] && !e.Leaving {
					t.Fatalf("%s has said that it leaves and is listed as one that takes work", e.Name)
				}
				if e.Leaving && !said[e.Name] && !byEntry[e.Name] {
					t.Fatalf("%s is listed as leaving, which neither it nor its entry has said", e.Name)
				}
			}
		}
	})
}

// TestALeavingIsNewOnce checks that an endpoint that says in each answer that it leaves is
// reported as new once, and that memory for such endpoints is bounded.
func TestALeavingIsNewOnce(t *testing.T) {
	is := is.New(t)
	l := New()
	is.True(l.MarkLeaving("a"))
	is.True(!l.MarkLeaving("a"))
	for n := range 2 * maxSaidLeaving {
		is.True(l.MarkLeaving(id.Endpoint(fmt.Sprint(n))))
	}
	is.Equal(l.saidLeaving.Len(), maxSaidLeaving)
}
