package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// send takes and sends retries that arrive at once.
func send(w *Window, now time.Duration, n, sharers int) bool {
	if !w.TakeRetries(now, n, sharers) {
		return false
	}
	w.RecordArrivals(now, n)
	return true
}

func TestWindowAllowsItsShareOfTheSlack(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Slack: 58, Safety: 1})
	allowed := 0
	for range 100 {
		if send(w, 0, 1, 9) {
			allowed++
		}
	}
	is.Equal(allowed, 6)
	for range 50 {
		w.CountRequest(time.Second)
	}
	for range 100 {
		if send(w, time.Second, 1, 9) {
			allowed++
		}
	}
	is.Equal(allowed, 16)
	is.True(!send(w, 10*time.Second, 1, 9)) // the first retries still count
	is.True(send(w, 11*time.Second, 1, 9))
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
			if !send(w, now, 1, 1) {
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
// nothing: no more can be returned than was taken.
func TestReturnedRetriesMayBeTakenAgain(t *testing.T) {
	is := is.New(t)
	w := NewWindow(WindowConfig{Span: 10 * time.Second, Slack: 3, Safety: 1})
	is.True(w.TakeRetries(0, 2, 1))
	is.True(w.TakeRetries(time.Second, 1, 1))
	w.ReturnRetries(2)
	is.Equal(w.Left(2*time.Second, 1), 2.0)
	w.ReturnRetries(5)
	is.Equal(w.Left(time.Minute, 1), 3.0)
	is.True(!w.TakeRetries(time.Minute, 4, 1))
}

// TestRetriesThatArriveLateStayWithinTheLimit guards against retries that are counted when
// they are allowed and arrive seconds later, together with those of the next window. The
// retries wait for an endpoint for up to 4 s.
func TestRetriesThatArriveLateStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 6
		w := NewWindow(WindowConfig{Span: testSpan, Slack: slack, Safety: 1})
		var waiting, arrived []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			var rest []time.Duration
			for _, at := range waiting {
				if at > now {
					rest = append(rest, at)
					continue
				}
				w.RecordArrivals(now, 1)
				arrived = append(arrived, now)
			}
			waiting = rest
			if w.TakeRetries(now, 1, 1) {
				waiting = append(waiting, now+time.Duration(rapid.IntRange(0, 40).Draw(t, "tenths"))*100*time.Millisecond)
			}
		}
		for i, first := range arrived {
			n := 0
			for _, at := range arrived[i:] {
				if at < first+testSpan {
					n++
				}
			}
			if n > slack {
				t.Fatalf("%d retries arrive within %v from %v, %d are allowed", n, testSpan, first, slack)
			}
		}
	})
}

// TestAWindowThatIsHandedOnStaysWithinTheLimit checks, in any order of events, that
// processes which go on with the window of the one before them keep the limit as one
// process does, although the clock of each begins at another time.
func TestAWindowThatIsHandedOnStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{Span: testSpan, Ratio: 0.2, Slack: 6, Safety: 1}
		w := NewWindow(cfg)
		var now, clock time.Duration
		var requests, retries []time.Duration
		count := func(all []time.Duration, since time.Duration) (n int) {
			for _, at := range all {
				if at >= since {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				state := w.State(now + clock)
				age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond
				now += age
				clock = time.Duration(rapid.IntRange(0, 100_000).Draw(t, "clock")) * time.Millisecond
				w = NewWindow(cfg)
				w.Restore(now+clock, age, state)
			case 1, 2, 3, 4:
				w.CountRequest(now + clock)
				requests = append(requests, now)
			default:
				if !send(w, now+clock, 1, 1) {
					continue
				}
				retries = append(retries, now)
				limit := cfg.Slack + cfg.Ratio*float64(count(requests, now-testSpan-testSpan/slotsPerSpan))
				if got := count(retries, now-testSpan+1); float64(got) > limit {
					t.Fatalf("%d retries, the limit is %v", got, limit)
				}
			}
		}
	})
}

// TestAWindowThatIsHandedOnIsNotEmpty checks that the next process has the credit of the
// former one's requests, and the retries that are under way.
func TestAWindowThatIsHandedOnIsNotEmpty(t *testing.T) {
	is := is.New(t)
	cfg := WindowConfig{Span: testSpan, Ratio: 0.2, Slack: 3, Safety: 1}
	w := NewWindow(cfg)
	for range 20 {
		w.CountRequest(time.Minute)
	}
	is.True(send(w, time.Minute, 2, 1))
	is.True(w.TakeRetries(time.Minute, 1, 1))
	next := NewWindow(cfg)
	next.Restore(time.Second, time.Second, w.State(time.Minute))
	is.Equal(next.Left(time.Second, 1), 4.0) // 3 and a fifth of 20, less 3
	is.Equal(next.Left(8*time.Second, 1), 4.0)
	is.Equal(next.Left(11*time.Second, 1), 3.0) // all have left the window
}
