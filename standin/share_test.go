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
	is.True(!ended(first)) // alone it would have ended at 1 s
	s.advance(1501 * time.Millisecond)
	is.True(ended(first))
	is.True(!ended(second))
	s.advance(2001 * time.Millisecond) // the second has the link for itself again
	is.True(ended(second))
}

func TestLeavingTransferGivesItsShareBack(t *testing.T) {
	is := is.New(t)
	s := sharedLink{rate: 1000}
	stays := s.add(0, 1000)
	leaves := s.add(0, 1000)
	s.remove(time.Second, leaves)
	s.advance(1499 * time.Millisecond)
	is.True(!ended(stays))
	s.advance(1501 * time.Millisecond)
	is.True(ended(stays))
	is.True(!ended(leaves))
}

// TestShareAgainstSmallSteps compares the ends with a simulation in small steps.
func TestShareAgainstSmallSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, step = 1000.0, time.Millisecond
		starts := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 5).Draw(t, "starts")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 500), len(starts), len(starts)).Draw(t, "sizes")
		want := steppedEnds(starts, sizes, rate, step)
		got := sharedLinkEnds(starts, sizes, rate, step)
		for i := range want {
			if math.Abs(float64(want[i]-got[i])) > float64(len(starts)+1) {
				t.Fatalf("transfer %d ends at step %d, naive says %d", i, got[i], want[i])
			}
		}
	})
}

// shareEnds gives the step at which each transfer ends by share.
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

// naiveEnds gives the same by serving each step's bytes in equal parts.
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

// ended tells whether a transfer is through.
func ended(item *transfer) bool {
	select {
	case <-item.done:
		return true
	default:
		return false
	}
}

func TestTransferEndsWithItsContextAndWithItsBytes(t *testing.T) {
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

func TestLaggedShowsTheValueOfALagAgo(t *testing.T) {
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

func TestPrefixCacheIsBoundedAndItsEventsComeLateAndWithGaps(t *testing.T) {
	is := is.New(t)
	f := newFaults(1)
	c := newPrefixCache(EngineConfig{CacheBlocks: 2, CacheLag: time.Second})
	start := time.Unix(1000, 0)
	c.store(start, []uint64{1, 2, 3}, f)
	is.Equal(c.hits([]uint64{1}), 0) // dropped as the least recently used
	is.Equal(c.hits([]uint64{2, 3}), 2)
	is.Equal(len(c.eventsAfter(start.Add(999*time.Millisecond), 0)), 0) // late
	events := c.eventsAfter(start.Add(time.Second), 0)
	is.Equal(len(events), 4) // three stored, one dropped
	is.Equal(len(c.eventsAfter(start.Add(time.Second), events[2].Number)), 1)

	c.eventLoss = 1
	c.store(start, []uint64{4}, f)
	c.eventLoss = 0
	c.store(start, []uint64{5}, f)
	later := c.eventsAfter(start.Add(time.Second), events[3].Number)
	is.Equal(later[0].Number, events[3].Number+3) // the two events between were lost
}
