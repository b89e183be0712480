package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testBound fails a test that would otherwise hang; no result depends on it.
const testBound = 30 * time.Second

// source is a Source whose answers the test supplies, one for each call.
type source struct {
	reads   chan func() (Snapshot, error)
	changes chan func() (Delta, error)
	mu      sync.Mutex
	waits   []time.Duration
}

func newSource() *source {
	return &source{reads: make(chan func() (Snapshot, error)), changes: make(chan func() (Delta, error))}
}

// Read implements Source.
func (s *source) Read(ctx context.Context, _ string) (Snapshot, error) {
	select {
	case f := <-s.reads:
		return f()
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

// Changes implements Source.
func (s *source) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) (Delta, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	select {
	case f := <-s.changes:
		return f()
	case <-ctx.Done():
		return Delta{}, ctx.Err()
	}
}

func (s *source) lastWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits[len(s.waits)-1]
}

// testFollower is a Follower whose callbacks send to channels.
type testFollower struct {
	*Follower
	states chan State
	lost   chan error
	back   chan struct{}
}

func follow(t *testing.T, s *source) *testFollower {
	t.Helper()
	f := &testFollower{states: make(chan State, 16), lost: make(chan error, 16), back: make(chan struct{}, 16)}
	f.Follower = Start(Config{
		Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond,
		Changed:  func(s State) { f.states <- s },
		Lost:     func(err error) { f.lost <- err },
		Regained: func() { f.back <- struct{}{} },
		Rand:     testRand(),
	})
	t.Cleanup(f.Close)
	return f
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func row(key string, version uint64) table.Row {
	return table.Row{Key: key, Value: []byte(key), Version: version}
}

func read(position uint64, rows ...table.Row) func() (Snapshot, error) {
	return func() (Snapshot, error) { return Snapshot{Rows: rows, Position: position}, nil }
}

func next[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testBound):
		t.Fatal("timed out waiting for a value")
		panic("unreachable")
	}
}

func serve[T any](t *testing.T, to chan T, v T) {
	t.Helper()
	select {
	case to <- v:
	case <-time.After(testBound):
		t.Fatal("timed out waiting for a call")
	}
}

func keys(s State) map[string]uint64 {
	out := map[string]uint64{}
	for _, r := range s.Rows {
		out[r.Key] = r.Version
	}
	return out
}

func TestTableIsReadOnceAndThenFollowed(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3), row("b", 5)))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 3, "b": 5})
	serve(t, s.changes, func() (Delta, error) {
		return Delta{Position: 12, Changes: []Change{{Row: row("a", 11)}, {Row: row("b", 12), Removed: true}}}, nil
	})
	got := next(t, f.states)
	is.Equal(keys(got), map[string]uint64{"a": 11})
	is.Equal(got.Version, uint64(12)) // a removal changes the version too
	is.True(s.lastWait() >= testBound/2)
}

func TestDiscardedHistoryCausesFullRead(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	serve(t, s.changes, func() (Delta, error) { return Delta{}, ErrHistoryGone })
	serve(t, s.reads, read(20, row("b", 15)))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"b": 15})
	is.Equal(len(f.lost), 0)
}

// One long call that hangs would delay the detection of the store's return.
func TestUnreachableStoreIsPolledWithShortCalls(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	serve(t, s.changes, func() (Delta, error) { return Delta{}, errors.New("away") })
	is.Equal(next(t, f.lost).Error(), "away")
	serve(t, s.changes, func() (Delta, error) { return Delta{}, errors.New("still away") })
	is.Equal(s.lastWait(), time.Duration(0))
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 9}, nil })
	next(t, f.back)
	is.Equal(len(f.lost), 0) // reported only once
}

func TestNewerStateOfAnotherDaemonIsAdopted(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	is.True(!f.Adopt(State{Name: "t", Rows: []table.Row{row("old", 3)}, Position: 30, Version: 3}))
	is.True(f.Adopt(State{Name: "t", Rows: []table.Row{row("b", 21)}, Position: 25, Version: 21}))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"b": 21})
	// Following continues after the adopted position.
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 26, Changes: []Change{{Row: row("c", 26)}}}, nil })
	is.Equal(keys(next(t, f.states)), map[string]uint64{"b": 21, "c": 26})
}

func TestRefreshReadsTableDuringPendingCall(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := follow(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.states)
	f.Refresh()
	serve(t, s.reads, read(10, row("a", 10)))
	is.Equal(keys(next(t, f.states)), map[string]uint64{"a": 10})
	is.Equal(len(f.lost), 0)
}

// After changes the follower pauses for Config.BatchDelay before the next call.
func TestChangesInQuickSuccessionAreBatched(t *testing.T) {
	is := is.New(t)
	s := newSource()
	states := make(chan State, 16)
	f := Start(Config{
		Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond, BatchDelay: testBound,
		Changed:  func(s State) { states <- s },
		Lost:     func(error) {},
		Regained: func() {},
		Rand:     testRand(),
	})
	t.Cleanup(f.Close)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, states)
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 12, Changes: []Change{{Row: row("a", 11)}}}, nil })
	is.Equal(keys(next(t, states)), map[string]uint64{"a": 11})
	select {
	case s.changes <- func() (Delta, error) { return Delta{}, nil }:
		t.Fatal("the store was called again without a pause")
	case <-time.After(20 * time.Millisecond):
	}
}

// If the store has discarded changes, a full read must report their difference,
// also removed rows: the daemons that rely on this follower learn of a removed row
// from no other source.
func TestDifferenceOfAFullReadIsReported(t *testing.T) {
	is := is.New(t)
	s := newSource()
	reported := make(chan News, 16)
	f := Start(Config{
		Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond,
		Changed: func(State) {}, OnNews: func(n News) { reported <- n },
		Lost: func(error) {}, Regained: func() {}, Rand: testRand(),
	})
	t.Cleanup(f.Close)
	serve(t, s.reads, read(9, row("a", 3), row("b", 5), row("c", 8)))
	serve(t, s.changes, func() (Delta, error) { return Delta{}, ErrHistoryGone })
	serve(t, s.reads, read(14, row("a", 3), row("c", 12)))
	is.Equal(next(t, reported), News{Name: "t", After: 9, Position: 14, Changes: []Change{
		{Row: row("c", 12)}, {Row: table.Row{Key: "b", Version: 14}, Removed: true},
	}})
	is.Equal(f.Version(), uint64(14))
	f.Refresh() // after a gap in the news; the other daemons already have these changes
	serve(t, s.reads, read(16, row("a", 3), row("c", 12), row("d", 15)))
	serve(t, s.changes, func() (Delta, error) { return Delta{Position: 16}, nil })
	is.Equal(len(reported), 0)

	other := idleAt(t, newSource(), 9, row("a", 3), row("b", 5), row("c", 8))
	fresh, err := other.ApplyNews(News{Name: "t", After: 9, Position: 14, Changes: []Change{{Row: table.Row{Key: "b", Version: 14}, Removed: true}}})
	is.NoErr(err)
	is.True(fresh)
	is.Equal(other.Version(), uint64(14))
}
