package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// later returns a version of the store's next era.
func later(number uint64) uint64 { return table.VersionIn(1, number) }

// restoredNews returns news that lead from a position into the next era.
func restoredNews(after, position, version uint64, changes ...Change) News {
	return News{Name: "t", After: after, Position: later(position), Changes: changes, Restored: true, Version: version}
}

// A store that came back from an older copy has lower numbers than before.
func TestAReadOfALaterEraReplacesTheState(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3), row("b", 5)))
	next(t, f.states)
	serve(t, s.changes, func() (Delta, error) { return Delta{}, ErrHistoryGone })
	serve(t, s.reads, read(later(4), row("a", later(3))))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": later(3)})
	is.Equal(f.Position(), later(4))
	is.Equal(f.Version(), later(3))
	serve(t, s.changes, func() (Delta, error) {
		return Delta{Position: later(5), Changes: []Change{{Row: row("c", later(5))}}}, nil
	})
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": later(3), "c": later(5)})
}

// In an empty table no row tells the era. Its state must still be above that of a daemon
// which has not heard of it.
func TestAnEmptyTableOfALaterEraIsNewer(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	f.Refresh()
	serve(t, s.reads, read(later(2)))
	is.Equal(len(next(t, f.states).Rows), 0)
	is.Equal(f.Version(), later(0))
	other := idleAt(t, newSource(), 12, row("a", 12))
	state, _ := f.State()
	is.True(other.Adopt(state))
}

// An answer of the former era may be delayed until the follower is in the later one.
func TestADelayedAnswerOfAFormerEraIsDropped(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := idleAt(t, s, 9, row("a", 3))
	_, err := f.ApplyNews(restoredNews(9, 4, later(4), Change{Row: row("a", later(4))}))
	is.NoErr(err)
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": later(4)})
	f.Refresh()
	serve(t, s.reads, read(30, row("a", 30)))
	fresh, err := f.ApplyNews(news(9, 40, Change{Row: row("a", 40)}))
	is.NoErr(err)
	is.True(!fresh)
	is.True(!f.Adopt(State{Name: "t", Rows: []table.Row{row("a", 50)}, Position: 50, Version: 50}))
	is.Equal(f.Version(), later(4))
}

// A reader tells the others which rows differ, also if none do: they hear of the store's
// return from nobody else.
func TestAReturnOfTheStoreIsReported(t *testing.T) {
	for _, c := range []struct {
		name string
		rows []table.Row
		want []Change
	}{
		{"a row that differs", []table.Row{{Key: "a", Value: []byte("older"), Version: later(2)}, row("b", later(5))},
			[]Change{{Row: table.Row{Key: "a", Value: []byte("older"), Version: later(2)}}}},
		{"a row that is missing", []table.Row{row("b", later(5))},
			[]Change{{Row: table.Row{Key: "a", Version: later(6)}, Removed: true}}},
		{"the same rows", []table.Row{row("a", later(2)), row("b", later(5))}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSource()
			reported := make(chan News, 16)
			f := Start(Config{
				Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond,
				Changed: func(State) {}, OnNews: func(n News) { reported <- n },
				Lost: func(error) {}, Regained: func() {}, Rand: testRand(),
			})
			t.Cleanup(f.Close)
			serve(t, s.reads, read(9, row("a", 3), row("b", 5)))
			serve(t, s.changes, func() (Delta, error) { return Delta{}, ErrHistoryGone })
			serve(t, s.reads, read(later(6), c.rows...))
			got := next(t, reported)
			is.Equal(got, News{Name: "t", After: 9, Position: later(6), Changes: c.want, Restored: true, Version: later(5)})

			other := idleAt(t, newSource(), 9, row("a", 3), row("b", 5))
			fresh, err := other.ApplyNews(got)
			is.NoErr(err)
			is.True(fresh)
			next(t, other.states)
			is.Equal(other.Position(), f.Position())
			is.Equal(other.Version(), f.Version()) // else each would fetch the other's tables
		})
	}
}

// News that lead into a later era list what differs from one state only. A follower that
// was at another one would keep what the store has lost.
func TestNewsOfAReturnAreAppliedAtTheirBeginOnly(t *testing.T) {
	is := is.New(t)
	f := idleAt(t, newSource(), 9, row("a", 3))
	_, err := f.ApplyNews(news(9, 12, Change{Row: row("b", 12)}))
	is.NoErr(err)
	next(t, f.states)
	_, err = f.ApplyNews(restoredNews(9, 4, later(3)))
	is.True(errors.Is(err, ErrGap)) // row b is lost, which the sender has never known
	fresh, err := f.ApplyNews(restoredNews(12, 4, later(3), Change{Row: table.Row{Key: "b", Version: later(4)}, Removed: true}))
	is.NoErr(err)
	is.True(fresh)
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 3})
	// Row a may have changed and changed back between two reads of the era.
	fresh, err = f.ApplyNews(restoredNews(12, 8, later(8)))
	is.NoErr(err)
	is.True(!fresh)
	is.Equal(f.Position(), later(4))
}

// endless is a store that gives the same kind of answer to all calls, at once. It blocks
// after the last call that a test waits for.
type endless struct {
	read    func(call uint64) (Snapshot, error)
	changes func(call uint64) (Delta, error)
	calls   atomic.Uint64
	last    chan struct{}
}

// endlessCalls is how many calls a test waits for.
const endlessCalls = 90

// count counts a call and blocks after the last one.
func (s *endless) count(ctx context.Context) uint64 {
	call := s.calls.Add(1)
	if call == endlessCalls {
		close(s.last)
	}
	if call >= endlessCalls {
		<-ctx.Done()
	}
	return call
}

// Read implements Source.
func (s *endless) Read(ctx context.Context, _ string) (Snapshot, error) {
	return s.read(s.count(ctx))
}

// Changes implements Source.
func (s *endless) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (Delta, error) {
	return s.changes(s.count(ctx))
}

// pauses records pauses and ends them at once.
type pauses struct {
	mu   sync.Mutex
	each []time.Duration
}

func (p *pauses) newTimer(d time.Duration) *time.Timer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.each = append(p.each, d)
	return time.NewTimer(0)
}

// A follower calls no store without a pause, whatever the store answers, and the pauses
// grow. A store that no longer has the changes is called three times at most between two
// pauses: for changes, for the table, and for changes again.
func TestNoAnswerIsFollowedByEndlessCalls(t *testing.T) {
	const (
		maxCallsBetweenPauses = 3
		longest               = time.Minute
	)
	same := func(uint64) (Snapshot, error) { return Snapshot{Position: 9, Rows: []table.Row{row("a", 3)}}, nil }
	gone := func(uint64) (Delta, error) { return Delta{}, ErrHistoryGone }
	stores := map[string]*endless{
		"no history":                  {read: same, changes: gone},
		"no history and older tables": {read: func(call uint64) (Snapshot, error) { return Snapshot{Position: 1000 - call}, nil }, changes: gone},
		"an era in each answer": {
			read:    func(call uint64) (Snapshot, error) { return Snapshot{Position: table.VersionIn(call, 9)}, nil },
			changes: gone,
		},
		"changes without progress": {read: same, changes: func(uint64) (Delta, error) {
			return Delta{Position: 9, Changes: []Change{{Row: row("a", 3)}}}, nil
		}},
		"older changes": {read: same, changes: func(uint64) (Delta, error) {
			return Delta{Position: 8, Changes: []Change{{Row: row("a", 8)}}}, nil
		}},
		"no wait for changes": {read: same, changes: func(uint64) (Delta, error) { return Delta{Position: 9}, nil }},
		"failures": {
			read:    func(uint64) (Snapshot, error) { return Snapshot{}, errors.New("refused") },
			changes: func(uint64) (Delta, error) { return Delta{}, errors.New("refused") },
		},
	}
	for name, s := range stores {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s.last = make(chan struct{})
			var p pauses
			f := Start(Config{
				Name: "t", Source: s, Wait: testBound, Retry: longest, newTimer: p.newTimer,
				Changed: func(State) {}, Lost: func(error) {}, Regained: func() {}, Rand: testRand(),
				Now: func() time.Duration { return time.Hour },
			})
			await(t, s.last)
			f.Close()
			is.True(len(p.each) >= endlessCalls/maxCallsBetweenPauses-1)
			is.True(slices.Max(p.each) >= longest/2)
		})
	}
}
