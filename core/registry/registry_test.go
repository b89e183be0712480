package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/uptime"
)

func names(l *List) []id.Endpoint {
	out := []id.Endpoint{}
	for _, e := range l.All() {
		out = append(out, e.Name)
	}
	return out
}

func entry(name id.Endpoint, address string) Endpoint { return Endpoint{Name: name, Address: address} }

func TestRemovedEntryIsDroppedWithoutOutage(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{entry("a", "1"), entry("b", "2")})
	l.Set(time.Second, 1, []Endpoint{entry("b", "2")})
	is.Equal(names(l), []id.Endpoint{"b"})
}

func TestLapsedEntriesAreKeptForReturnGrace(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{entry("a", "1"), entry("b", "2"), entry("c", "3")})
	l.StoreLost()
	l.StoreBack(10 * time.Second)
	l.RecordResponse(1, time.Minute, false)
	l.Set(10*time.Second, 1, nil)
	is.Equal(names(l), []id.Endpoint{"a", "b", "c"})
	l.Set(11*time.Second, 1, []Endpoint{entry("a", "1")})
	is.Equal(l.Lapsed(), 2)
	is.True(!l.DropRemoved())
	end := 10*time.Second + uptime.ReturnGrace
	l.RecordResponse(1, time.Minute+uptime.ReturnGrace-1, true)
	is.True(!l.DropRemoved())
	is.True(!l.GraceOver(end - 1))
	is.True(l.GraceOver(end))
	l.RecordResponse(1, time.Minute+uptime.ReturnGrace, true)
	is.True(l.DropRemoved())
	is.True(!l.GraceOver(end))
	is.Equal(names(l), []id.Endpoint{"a"})
}

func TestLeavingEntryIsNotKept(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{{Name: "a", Address: "1", Leaving: true}, entry("b", "2")})
	l.StoreLost()
	l.Set(time.Second, 1, nil)
	is.Equal(names(l), []id.Endpoint{"b"})
}

func TestLapsedEntryWithReusedAddressIsDropped(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 1, []Endpoint{entry("a", "1")})
	l.StoreLost()
	l.Set(time.Second, 1, []Endpoint{entry("z", "1")})
	is.Equal(names(l), []id.Endpoint{"z"})
}

// servedSpan returns a span of the store's uptime by the clock that all daemons of
// the tests share.
func servedSpan(from, until uint64, since, last time.Duration) uptime.History {
	return uptime.History{{From: from, Until: until, Since: since, Last: last}}
}

func TestOutageReportedByAnotherDaemon(t *testing.T) {
	is := is.New(t)
	l := New()
	is.True(!l.EntriesMayReturn(0))
	l.Set(0, 10, []Endpoint{{Name: "a", Address: "1"}})
	back := servedSpan(0, 11, time.Second, time.Second)
	l.MergeUptime(back, 0)
	l.ReportOutage(1100 * time.Millisecond)
	l.Set(1100*time.Millisecond, 11, nil)
	is.Equal(l.Lapsed(), 1)
	is.True(l.EntriesMayReturn(1100 * time.Millisecond))
	// A repeated or later report of the same return does not extend the time.
	l.MergeUptime(back, 0)
	l.ReportOutage(3 * time.Second)
	until := 1100*time.Millisecond + uptime.ReturnGrace
	for _, asks := range []struct {
		at  time.Duration
		ask bool
	}{
		{1200 * time.Millisecond, true}, {1300 * time.Millisecond, false}, {1900 * time.Millisecond, true},
		{2500 * time.Millisecond, false}, {until, true}, {until + 1, true},
	} {
		_, ask := l.ShouldQuery(asks.at, 700*time.Millisecond)
		is.Equal(ask, asks.ask)
	}
	end := time.Second + uptime.ReturnGrace
	is.True(!l.MergeUptime(servedSpan(0, 11, time.Second, end-1), 0))
	is.True(l.MergeUptime(servedSpan(11, 11, time.Second, end), 0))
	is.Equal(l.Lapsed(), 0)
	l.MergeUptime(servedSpan(11, 14, time.Second, 4*time.Second), 0) // the store was available
	l.Set(4*time.Second, 12, []Endpoint{{Name: "b", Address: "2"}})
	l.Set(4*time.Second, 13, nil)
	is.Equal(l.Lapsed(), 0)
}

// TestRefusedDaemonDropsEntriesRemovedWhileOthersWereServed covers a daemon that the
// store refuses. It learns of the removal and of the store's uptime in either order.
func TestRefusedDaemonDropsEntriesRemovedWhileOthersWereServed(t *testing.T) {
	is := is.New(t)
	for _, first := range []bool{true, false} {
		l := New()
		l.Set(0, 10, []Endpoint{entry("a", "1"), entry("b", "2")})
		l.StoreLost()
		span := servedSpan(3, 12, -time.Minute, 5*time.Second)
		if first {
			l.MergeUptime(span, 0)
		}
		l.Set(5*time.Second, 12, []Endpoint{entry("b", "2")})
		if !first {
			is.Equal(names(l), []id.Endpoint{"a", "b"})
			upTo, ask := l.ShouldQuery(5*time.Second, 0)
			is.True(ask)
			is.Equal(upTo, uint64(12))
			is.True(l.MergeUptime(span, 0))
		}
		is.Equal(names(l), []id.Endpoint{"b"})
		_, ask := l.ShouldQuery(5*time.Second, 0)
		is.True(!ask)
	}
}

// TestReturnGraceStartsAtStoreReturn checks that the return grace starts at the
// store's return, not at the first response to this daemon, which may come seconds
// later.
func TestReturnGraceStartsAtStoreReturn(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 10, []Endpoint{entry("a", "1")})
	l.StoreLost()
	l.StoreBack(10 * time.Second)
	l.RecordResponse(20, 10*time.Second, false)
	l.Set(10*time.Second, 20, nil)
	is.Equal(l.Lapsed(), 1)
	// Other daemons were served from 8 s on.
	end := 8*time.Second + uptime.ReturnGrace
	is.True(!l.MergeUptime(servedSpan(0, 20, 8*time.Second, 10*time.Second), 0))
	is.True(!l.MergeUptime(servedSpan(0, 20, 8*time.Second, end-1), 0))
	is.True(l.MergeUptime(servedSpan(20, 20, 8*time.Second, end), 0))
}

// TestEntryLapsedInSharedOutageIsKept checks that a daemon that learns of the store's
// return from others keeps an entry until the others were served for the return
// grace.
func TestEntryLapsedInSharedOutageIsKept(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 10, []Endpoint{entry("a", "1")})
	l.StoreLost()
	// The store responded for a second and was unavailable again.
	l.MergeUptime(servedSpan(0, 12, 5*time.Second, 6*time.Second), 0)
	l.Set(6*time.Second, 12, nil)
	is.True(!l.DropRemoved())
	is.True(!l.MergeUptime(servedSpan(0, 14, 30*time.Second, 31*time.Second), 0))
	is.Equal(l.Lapsed(), 1)
	is.True(l.MergeUptime(servedSpan(14, 15, 30*time.Second, 33*time.Second), 0))
	is.Equal(l.Lapsed(), 0)
}

// TestEntryLapsedRightAfterStoreReturnIsKept checks that an entry that lapses right
// after the store's return is kept, even if daemons were served since: the store may
// not have received the endpoint's heartbeats yet.
func TestEntryLapsedRightAfterStoreReturnIsKept(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 10, []Endpoint{entry("a", "1")})
	l.StoreLost()
	l.StoreBack(10 * time.Second)
	l.RecordResponse(20, 10*time.Second, false)
	l.MarkCurrent() // nothing has changed
	l.RecordResponse(25, 11*time.Second, true)
	l.Set(11*time.Second, 25, nil)
	l.MergeUptime(servedSpan(0, 25, 10*time.Second, 11*time.Second), 0)
	is.Equal(l.Lapsed(), 1)
	end := 10*time.Second + uptime.ReturnGrace
	l.RecordResponse(25, end, true)
	is.True(l.DropRemoved())
}

// TestLaggingDaemonKeepsEntries checks that a daemon that lags behind the store keeps
// entries: its list does not include endpoints that have registered again since.
func TestLaggingDaemonKeepsEntries(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, 10, []Endpoint{entry("a", "1")})
	l.StoreLost()
	l.Set(6*time.Second, 12, nil)
	is.True(!l.MergeUptime(servedSpan(14, 18, 5*time.Second, 9*time.Second), 15))
	is.Equal(l.Lapsed(), 1)
	l.Set(9*time.Second, 15, []Endpoint{entry("a", "1")})
	is.Equal(l.Lapsed(), 0)
	is.Equal(names(l), []id.Endpoint{"a"})
}
