package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestWindowAllowsItsShareOfTheSlack(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Slack: 58, Safety: 1})
	allowed := 0
	for range 100 {
		if w.TakeRetries(0, 1, 9) {
			allowed++
		}
	}
	is.Equal(allowed, 6)
	for range 50 {
		w.CountRequest(time.Second)
	}
	for range 100 {
		if w.TakeRetries(time.Second, 1, 9) {
			allowed++
		}
	}
	is.Equal(allowed, 16)
	is.True(!w.TakeRetries(10*time.Second, 1, 9)) // the first retries still count
	is.True(w.TakeRetries(11*time.Second, 1, 9))
}

// TestNoSpanExceedsTheLimit checks that in any order of events, a span of
// the window's length that ends with a retry contains at most as many retries as
// the slack plus the ratio of the requests in the span and in the slot before it.
func TestNoSpanExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * time.Second
		w := NewWindow(WindowConfig{Span: span, Ratio: 0.2, Slack: 6, Safety: 1})
		var now time.Duration
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if !w.TakeRetries(now, 1, 1) {
				continue
			}
			repeats = append(repeats, now)
			slot := span / slotsPerSpan
			count := func(all []time.Duration, since time.Duration) (n int) {
				for _, at := range all {
					if at >= since {
						n++
					}
				}
				return n
			}
			limit := 6 + 0.2*float64(count(requests, now-span-slot))
			if got := count(repeats, now-span+1); float64(got) > limit {
				t.Fatalf("%d retries, the limit is %v", got, limit)
			}
		}
	})
}

// TestRetriesAreTakenAllOrNone checks that a window that allows fewer retries than are
// asked for takes none of them.
func TestRetriesAreTakenAllOrNone(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowConfig{Span: 10 * time.Second, Slack: 3, Safety: 1})
	is.True(w.TakeRetries(0, 2, 1))
	is.True(!w.TakeRetries(0, 2, 1))
	is.True(w.TakeRetries(0, 1, 1))
}

// TestReturnedRetriesMayBeTakenAgain checks that what is returned is available again,
// also after the slot in which it was taken, and that a window never holds less than
// nothing: retries that have left it can't be returned.
func TestReturnedRetriesMayBeTakenAgain(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowConfig{Span: 10 * time.Second, Slack: 3, Safety: 1})
	is.True(w.TakeRetries(0, 2, 1))
	is.True(w.TakeRetries(time.Second, 1, 1))
	w.ReturnRetries(2*time.Second, 2)
	is.Equal(w.Left(2*time.Second, 1), 2.0)
	w.ReturnRetries(time.Minute, 5)
	is.Equal(w.Left(time.Minute, 1), 3.0)
	is.True(!w.TakeRetries(time.Minute, 4, 1))
}
