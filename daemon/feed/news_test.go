package feed

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

func news(after, position uint64, changes ...Change) News {
	return News{Name: "t", After: after, Position: position, Changes: changes}
}

// idleAt returns an idle follower that knows the rows at a position.
func idleAt(t *testing.T, s *source, position uint64, rows ...table.Row) *testFollower {
	t.Helper()
	f := follow(t, s)
	f.SetIdle(true)
	serve(t, s.reads, read(position, rows...))
	next(t, f.states)
	return f
}

func TestIdleFollowerAppliesNewsWithoutCalls(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	fresh, err := f.ApplyNews(news(9, 12, Change{Row: row("b", 12)}))
	is.NoErr(err)
	is.True(fresh)
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 3, "b": 12})
	select {
	case s.changes <- func() (Delta, error) { return Delta{}, nil }:
		t.Fatal("the idle follower called the store")
	case <-time.After(20 * time.Millisecond):
	}
}

// Several daemons may send the same changes in batches that overlap.
func TestOverlappingNewsAreAppliedOnce(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	_, err := f.ApplyNews(news(9, 12, Change{Row: row("b", 11)}, Change{Row: row("a", 12), Removed: true}))
	is.NoErr(err)
	next(t, f.states)
	fresh, err := f.ApplyNews(news(5, 12, Change{Row: row("a", 7)}, Change{Row: row("a", 12), Removed: true}))
	is.NoErr(err)
	is.True(!fresh)
	fresh, err = f.ApplyNews(news(10, 15, Change{Row: row("b", 11)}, Change{Row: row("c", 15)}))
	is.NoErr(err)
	is.True(fresh)
	is.Equal(keys(next(t, f.states)), map[string]uint64{"b": 11, "c": 15}) // row a stays removed
}

func TestNewsAfterAGapAreRejected(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	_, err := f.ApplyNews(news(11, 12, Change{Row: row("b", 12)}))
	is.True(errors.Is(err, ErrGap))
	is.Equal(f.Version(), uint64(3))
	// A full read returns the missing changes.
	f.Refresh()
	serve(t, s.reads, read(12, row("a", 3), row("c", 10), row("b", 12)))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 3, "b": 12, "c": 10})
}

func TestNewsWithoutChangesCauseOneFullRead(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	for range 3 { // from three daemons
		_, err := f.ApplyNews(news(9, 12))
		is.NoErr(err)
	}
	serve(t, s.reads, read(12, row("a", 12)))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 12})
	_, err := f.ApplyNews(news(9, 12))
	is.NoErr(err)
	select {
	case s.reads <- read(12, row("a", 12)):
		t.Fatal("the table was read again")
	case <-time.After(20 * time.Millisecond):
	}
}

// The table is read before a change and the answer arrives after another daemon's
// news of this change.
func TestReadInFlightDoesNotRevertNews(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	called := make(chan struct{})
	answer := make(chan struct{})
	f.Refresh()
	serve(t, s.reads, func() (Snapshot, error) {
		close(called)
		<-answer
		return Snapshot{Rows: []table.Row{row("a", 3)}, Position: 9}, nil
	})
	await(t, called)
	_, err := f.ApplyNews(news(9, 12, Change{Row: row("a", 12)}))
	is.NoErr(err)
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 12})
	close(answer)
	// Following continues after the position of the news.
	f.SetIdle(false)
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 13, Changes: []Change{{Row: row("b", 13)}}}, nil })
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 12, "b": 13})
}

func TestFirstCallAfterIdleDoesNotWait(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	f.SetIdle(false)
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 9}, nil })
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 9}, nil })
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.waits[0], time.Duration(0))
	is.True(s.waits[1] > 0)
}

func TestIdleFollowerRetriesUnreachableStore(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	serve(t, s.changes, func() (Delta, error) { return Delta{}, errors.New("away") })
	next(t, f.lost)
	f.SetIdle(true)
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 9}, nil })
	next(t, f.back)
	is.True(!f.Lost())
}

func TestOnlyChangesFromTheStoreAreReported(t *testing.T) {
	is := is.New(t)
	s := newSource()
	reported := make(chan News, 16)
	f := Start(Config{
		Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond,
		Changed:  func(State) {},
		OnNews:   func(n News) { reported <- n },
		Lost:     func(error) {},
		Regained: func() {},
		Rand:     testRand(),
	})
	t.Cleanup(f.Close)
	serve(t, s.reads, read(9, row("a", 3)))
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 12, Changes: []Change{{Row: row("b", 12)}}}, nil })
	is.Equal(next(t, reported), news(9, 12, Change{Row: row("b", 12)}))
	_, err := f.ApplyNews(news(12, 14, Change{Row: row("c", 14)}))
	is.NoErr(err)
	is.Equal(len(reported), 0) // news of another daemon is not reported
}

func await(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testBound):
		t.Fatal("timed out")
	}
}

// An idle follower uses IdleRetry once it knows the table. Followers that other
// daemons rely on, or that do not know the table yet, use Retry.
func TestIdleFollowerUsesIdleRetry(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	f.cfg.IdleRetry = time.Hour
	f.SetIdle(true)
	is.Equal(f.maxPause(), f.cfg.Retry) // the table is not known yet
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	is.Equal(f.maxPause(), time.Hour)
	f.SetIdle(false)
	is.Equal(f.maxPause(), f.cfg.Retry)
}
