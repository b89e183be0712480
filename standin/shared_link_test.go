package standin

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTransfersShareTheRate(t *testing.T) {
	is := is.New(t)
	s := sharedLink{rate: 1000}
	first := s.add(0, 1000)
	second := s.add(500*time.Millisecond, 1000) // first has 500 bytes left
	s.advance(1499 * time.Millisecond)
	is.True(!ended(first)) // without the second transfer it would have ended at 1 s
	s.advance(1501 * time.Millisecond)
	is.True(ended(first))
	is.True(!ended(second))
	s.advance(2001 * time.Millisecond) // the second has the full rate again
	is.True(ended(second))
}

func TestRemovedTransferReturnsItsShare(t *testing.T) {
	is := is.New(t)
	s := sharedLink{rate: 1000}
	kept := s.add(0, 1000)
	removed := s.add(0, 1000)
	s.remove(time.Second, removed)
	s.advance(1499 * time.Millisecond)
	is.True(!ended(kept))
	s.advance(1501 * time.Millisecond)
	is.True(ended(kept))
	is.True(!ended(removed))
}

// TestSharedLinkAgainstSteppedSimulation compares the ends of the transfers with
// those of a simulation in steps of 1 ms.
func TestSharedLinkAgainstSteppedSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, step = 1000.0, time.Millisecond
		starts := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 5).Draw(t, "starts")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 500), len(starts), len(starts)).Draw(t, "sizes")
		want := steppedEnds(starts, sizes, rate, step)
		got := sharedLinkEnds(starts, sizes, rate, step)
		for i := range want {
			if math.Abs(float64(want[i]-got[i])) > float64(len(starts)+1) {
				t.Fatalf("transfer %d ends at step %d, in the stepped simulation at step %d", i, got[i], want[i])
			}
		}
	})
}

// sharedLinkEnds returns the step at which each transfer ends on a sharedLink.
func sharedLinkEnds(starts, sizes []int, rate float64, step time.Duration) []int {
	s := sharedLink{rate: rate}
	items := make([]*transfer, len(starts))
	ends := make([]int, len(starts))
	for left, now := len(starts), 0; left > 0; now++ {
		for i, start := range starts {
			if start == now {
				items[i] = s.add(time.Duration(now)*step, int64(sizes[i]))
			}
		}
		s.advance(time.Duration(now) * step)
		for i, item := range items {
			if item != nil && ends[i] == 0 && ended(item) {
				ends[i] = now
				left--
			}
		}
	}
	return ends
}

// steppedEnds returns the step at which each transfer ends if the bytes of each
// step are divided equally among the running transfers.
func steppedEnds(starts, sizes []int, rate float64, step time.Duration) []int {
	remaining := make([]float64, len(starts))
	for i, size := range sizes {
		remaining[i] = float64(size)
	}
	ends := make([]int, len(starts))
	for left, now := len(starts), 0; left > 0; now++ {
		active := 0
		for i, start := range starts {
			if start <= now && ends[i] == 0 {
				active++
			}
		}
		for i, start := range starts {
			if start > now || ends[i] != 0 {
				continue
			}
			remaining[i] -= rate * step.Seconds() / float64(active)
			if remaining[i] <= 0 {
				ends[i] = now + 1
				left--
			}
		}
	}
	return ends
}

// ended reports whether a transfer has ended.
func ended(item *transfer) bool {
	select {
	case <-item.done:
		return true
	default:
		return false
	}
}

func TestTransferEndsOnCancelAndOnCompletion(t *testing.T) {
	is := is.New(t)
	l := NewLinks(1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- l.Transfer(ctx, "kuryk", "bautino", 1e9) }()
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	go func() { ended <- l.Transfer(context.Background(), "kuryk", "bautino", 1e9) }()
	l.SetRate("kuryk", "bautino", 1e15)
	is.NoErr(<-ended)
}

func TestLaggedReturnsValueFromOneLagAgo(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	l := newLagged(time.Second, "old")
	l.set(start, "mid")
	l.set(start.Add(500*time.Millisecond), "new")
	is.Equal(l.get(start.Add(999*time.Millisecond)), "old")
	is.Equal(l.get(start.Add(time.Second)), "mid")
	is.Equal(l.get(start.Add(1499*time.Millisecond)), "mid")
	is.Equal(l.get(start.Add(1500*time.Millisecond)), "new")
}

func TestPrefixCacheIsBoundedAndItsEventsLagAndCanBeLost(t *testing.T) {
	is := is.New(t)
	f := newFaults(1)
	c := newPrefixCache(EngineConfig{CacheBlocks: 2, CacheLag: time.Second})
	start := time.Unix(1000, 0)
	c.store(start, []uint64{1, 2, 3}, f)
	is.Equal(c.hits([]uint64{1}), 0) // evicted as the least recently used
	is.Equal(c.hits([]uint64{2, 3}), 2)
	is.Equal(len(c.eventsAfter(start.Add(999*time.Millisecond), 0)), 0) // not visible yet
	events := c.eventsAfter(start.Add(time.Second), 0)
	is.Equal(len(events), 4) // three stored, one evicted
	is.Equal(len(c.eventsAfter(start.Add(time.Second), events[2].Number)), 1)

	c.eventLoss = 1
	c.store(start, []uint64{4}, f)
	c.eventLoss = 0
	c.store(start, []uint64{5}, f)
	later := c.eventsAfter(start.Add(time.Second), events[3].Number)
	is.Equal(later[0].Number, events[3].Number+3) // the two events in between were lost
}
