package bytebudget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// testBound ends a wait that would otherwise hang.
const testBound = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// later is a deadline that no test reaches.
func later() time.Time { return time.Now().Add(testBound) }

// take starts to take bytes and returns the channel of the result.
func take(a *Account, n int) <-chan error {
	result := make(chan error, 1)
	go func() { result <- a.Take(context.Background(), n, later()) }()
	return result
}

// awaitWaiting waits until so many accounts wait.
func awaitWaiting(t *testing.T, b *Budget, n int) {
	t.Helper()
	for end := later(); ; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		waiting := len(b.waiting)
		b.mu.Unlock()
		if waiting == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d accounts wait, not %d", waiting, n)
		}
	}
}

// TestOneLargeAccountDoesNotTakeTheShareOfOthers guards against a large answer that stops
// all small ones.
func TestOneLargeAccountDoesNotTakeTheShareOfOthers(t *testing.T) {
	is := is.New(t)
	b := New(400, nil)
	large, small := b.Open(), b.Open()
	is.NoErr(large.Take(context.Background(), 300, later()))
	is.NoErr(small.Take(context.Background(), 100, later()))
	is.Equal(b.Held(), int64(400))
	is.Equal(large.Take(context.Background(), 1, later()), ErrShort) // it can never have them
	large.Close()
	small.Close()
	is.Equal(b.Held(), int64(0))
	is.Equal(b.Most(), int64(400))
}

// TestLargeAccountsTakeTurns guards against large answers that each wait for bytes which
// the other one holds.
func TestLargeAccountsTakeTurns(t *testing.T) {
	is := is.New(t)
	b := New(400, nil)
	first, second := b.Open(), b.Open()
	is.NoErr(first.Take(context.Background(), 50, later()))
	is.NoErr(second.Take(context.Background(), 50, later()))
	is.NoErr(first.Take(context.Background(), 200, later()))
	is.NoErr(second.Take(context.Background(), 50, later())) // what the first one left of the common part
	waits := take(second, 100)
	awaitWaiting(t, b, 1)
	is.NoErr(first.Take(context.Background(), 50, later()))
	first.Close()
	is.NoErr(<-waits)
	is.Equal(second.Held(), int64(200))
	second.Close()
}

// TestTheLargestThatWaitsIsEndedForASmallOne guards against small answers that wait for as
// long as large ones do.
func TestTheLargestThatWaitsIsEndedForASmallOne(t *testing.T) {
	is := is.New(t)
	b := New(400, nil)
	large, largest, small := b.Open(), b.Open(), b.Open()
	is.NoErr(large.Take(context.Background(), 300, later()))
	is.NoErr(largest.Take(context.Background(), 90, later()))
	ends := take(largest, 50)
	awaitWaiting(t, b, 1)
	granted := take(small, 20)
	is.Equal(<-ends, ErrShort)
	largest.Close() // as its request does
	is.NoErr(<-granted)
	large.Close()
	small.Close()
}

// TestCallersThatDoNotReadAreLetGoFirst checks the order when bytes are short.
func TestCallersThatDoNotReadAreLetGoFirst(t *testing.T) {
	is := is.New(t)
	b := New(400, nil)
	unread, large, waiting, small := b.Open(), b.Open(), b.Open(), b.Open()
	is.NoErr(large.Take(context.Background(), 300, later()))
	is.NoErr(unread.Take(context.Background(), 50, later()))
	is.NoErr(waiting.Take(context.Background(), 50, later()))
	blocked := take(waiting, 200)
	awaitWaiting(t, b, 1)
	b.OnShort(sync.OnceValue(func() bool { unread.Close(); return true }))
	is.NoErr(small.Take(context.Background(), 20, later()))
	small.Close()
	large.Close()
	is.NoErr(<-blocked) // it was not ended
	waiting.Close()
}

// TestAWaitEnds checks that nobody waits for bytes longer than it is meant to.
func TestAWaitEnds(t *testing.T) {
	is := is.New(t)
	r := metrics.New("d")
	b := New(400, r)
	holds, waits := b.Open(), b.Open()
	is.NoErr(holds.Take(context.Background(), 300, later()))
	is.Equal(waits.Take(context.Background(), 200, time.Now()), ErrShort)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(waits.Take(ctx, 200, later()), context.Canceled))
	is.Equal(b.refused.Value(), int64(1))
	waits.Close()
	is.Equal(waits.Take(context.Background(), 1, later()), ErrShort)
	holds.Close()
}

// TestWithoutALimitEverythingIsGranted checks the absence of a budget.
func TestWithoutALimitEverythingIsGranted(t *testing.T) {
	is := is.New(t)
	var none *Account
	is.NoErr(none.Take(context.Background(), 1<<40, time.Now()))
	none.Give(1)
	none.Close()
	a := New(0, nil).Open()
	is.NoErr(a.Take(context.Background(), 1<<40, time.Now()))
	a.Close()
	is.Equal(FromContext(context.Background()), none)
	is.Equal(FromContext(NewContext(context.Background(), a)), a)
}

// TestManyAccountsKeepTheLimit checks the sums under concurrent use.
func TestManyAccountsKeepTheLimit(t *testing.T) {
	is := is.New(t)
	b := New(1000, nil)
	var work sync.WaitGroup
	for range 50 {
		work.Go(func() {
			a := b.Open()
			defer a.Close()
			for range 40 {
				if a.Take(context.Background(), 17, later()) != nil {
					return
				}
			}
			a.Give(100)
		})
	}
	work.Wait()
	is.Equal(b.Held(), int64(0))
	is.True(b.Most() <= 1000)
}
