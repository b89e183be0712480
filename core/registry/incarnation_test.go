package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// startedEntry returns the entry of one start of an instance.
func startedEntry(instance id.Instance, startedUnixMS int64, address string) Endpoint {
	return Endpoint{Name: Incarnation(instance, startedUnixMS), Instance: instance, StartedUnixMS: startedUnixMS, Address: address, Role: live.RoleDecode}
}

func TestLaterStartReplacesEarlier(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{startedEntry("a", 100, "1")})
	l.Set(time.Second, 1, []Endpoint{startedEntry("a", 200, "1")})
	is.Equal(names(l), []id.Endpoint{"a@200"})
}

// TestEntryOfEarlierStartIsIgnored covers a late heartbeat of an earlier start, which
// overwrites the entry of the later start.
func TestEntryOfEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{startedEntry("a", 200, "1")})
	l.Set(time.Second, 1, []Endpoint{startedEntry("a", 100, "1")})
	is.Equal(names(l), []id.Endpoint{"a@200"})
}

func TestReplacedStartIsNotKeptDuringOutage(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{startedEntry("a", 100, "1")})
	l.StoreLost()
	l.Set(time.Second, 1, []Endpoint{startedEntry("a", 200, "2")})
	is.Equal(names(l), []id.Endpoint{"a@200"})
}

// TestDisplacedEndpointStaysDropped checks that a displaced endpoint stays dropped
// when its entry is written again, until the entry has another address.
func TestDisplacedEndpointStaysDropped(t *testing.T) {
	is := is.New(t)
	l := New()
	former, present := entry("a", "1"), entry("b", "1")
	l.Set(0, 1, []Endpoint{former, present})
	is.Equal(l.AddressConflicts(), []Endpoint{former, present})
	is.True(l.MarkDisplaced(former))
	is.True(!l.MarkDisplaced(former))
	is.Equal(len(l.AddressConflicts()), 0)
	l.Set(time.Second, 1, []Endpoint{present})
	l.Set(2*time.Second, 1, []Endpoint{former, present})
	is.Equal(names(l), []id.Endpoint{"b"})
	l.Set(3*time.Second, 1, []Endpoint{entry("a", "2"), present})
	is.Equal(names(l), []id.Endpoint{"a", "b"})
}

// TestRestartReportOverridesEntry checks that an endpoint's report of a restart takes
// precedence over its entry until the entry is updated.
func TestRestartReportOverridesEntry(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{startedEntry("a", 100, "1")})
	is.True(l.Restarted("a", 200, live.RolePrefill))
	is.True(!l.Restarted("a", 200, live.RolePrefill))
	is.True(!l.Restarted("a", 150, live.RolePrefill))
	is.Equal(names(l), []id.Endpoint{"a@200"})
	is.Equal(l.All()[0].Role, live.RolePrefill)
	l.Set(time.Second, 1, []Endpoint{startedEntry("a", 100, "1")})
	is.Equal(names(l), []id.Endpoint{"a@200"})
	l.Set(2*time.Second, 1, []Endpoint{startedEntry("a", 200, "1")})
	is.Equal(l.All()[0].Role, live.RoleDecode)
	l.Set(3*time.Second, 1, nil)
	is.Equal(len(l.All()), 0)
	is.True(!l.Restarted("a", 300, live.RolePrefill))
}

// TestUnreadableEntryIsDropped checks that an unreadable entry is dropped even during
// an outage, while other missing entries are kept.
func TestUnreadableEntryIsDropped(t *testing.T) {
	is := is.New(t)
	l := New()
	a, b := startedEntry("a", 100, "1"), startedEntry("b", 100, "2")
	l.Set(0, 1, []Endpoint{a, b})
	l.StoreLost()
	l.Set(time.Second, 1, nil, "a")
	is.Equal(names(l), []id.Endpoint{"b@100"})
	l.Set(2*time.Second, 1, nil)
	is.Equal(names(l), []id.Endpoint{"b@100"})
}

// TestRandomRestarts drives a list with starts, late heartbeats of earlier starts,
// lost and returning entries and outages of the store. It checks that no instance is
// listed twice, that none goes back to an earlier start while it is listed, and that
// no displaced endpoint is listed.
func TestRandomRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := time.Duration(0)
		rows := map[id.Instance]Endpoint{}
		startedUnixMS := map[id.Instance]int64{}
		shown := map[id.Instance]int64{}
		displaced := map[location]bool{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			instance := id.Instance(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "instance")))
			address := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "address"))
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				startedUnixMS[instance] += int64(rapid.IntRange(1, 5).Draw(t, "later"))
				rows[instance] = startedEntry(instance, startedUnixMS[instance], address)
			case 1:
				rows[instance] = startedEntry(instance, max(1, startedUnixMS[instance]-1), address)
			case 2:
				delete(rows, instance)
			case 3:
				l.StoreLost()
			case 4:
				l.StoreBack(now)
			case 5:
				l.Restarted(instance, startedUnixMS[instance], live.RoleDecode)
			case 6:
				for _, e := range l.AddressConflicts() {
					l.MarkDisplaced(e)
					displaced[e.location()] = true
					break
				}
			default:
				l.DropRemoved()
			}
			var entries []Endpoint
			for _, e := range rows {
				entries = append(entries, e)
			}
			l.Set(now, 1, entries)
			checkRestarts(t, l, shown, displaced)
		}
	})
}

// checkRestarts compares the list with the starts that it contained before.
func checkRestarts(t *rapid.T, l *List, shown map[id.Instance]int64, displaced map[location]bool) {
	present := map[id.Instance]int64{}
	for _, e := range l.All() {
		if _, twice := present[e.Instance]; twice {
			t.Fatalf("%s is listed twice", e.Instance)
		}
		if e.StartedUnixMS < shown[e.Instance] {
			t.Fatalf("start of %s went back from %d to %d", e.Instance, shown[e.Instance], e.StartedUnixMS)
		}
		if displaced[e.location()] {
			t.Fatalf("displaced endpoint %s is listed", e.Name)
		}
		present[e.Instance] = e.StartedUnixMS
	}
	clear(shown)
	for instance, startedUnixMS := range present {
		shown[instance] = startedUnixMS
	}
}
