package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// followForProof starts a follower whose confirmations arrive on a channel, and lets it read its
// table.
func followForProof(t *testing.T, s *source, idle bool) (f *Follower, confirmed chan time.Duration) {
	t.Helper()
	confirmed = make(chan time.Duration, 16)
	started := time.Now()
	f = Start(Config{
		Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond, Idle: idle,
		Changed:   func(State) {},
		Confirmed: func(at time.Duration) { confirmed <- at },
		Now:       func() time.Duration { return time.Since(started) },
		Rand:      testRand(),
	})
	t.Cleanup(f.Close)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, confirmed)
	return f, confirmed
}

func noChanges() (Delta, error) { return Delta{Position: 9}, nil }

// TestVerifyCallsTheStoreAtOnce guards against a proof that waits for the end of a call which
// waits for changes, or that an idle follower never gets.
func TestVerifyCallsTheStoreAtOnce(t *testing.T) {
	for name, idle := range map[string]bool{"idle": true, "reading": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSource()
			f, confirmed := followForProof(t, s, idle)
			for i := range 3 {
				calls := i + 1
				if !idle {
					s.awaitCalls(t, 2*i+1) // the one that waits
					calls = 2*i + 2
				}
				asked := f.now()
				f.Verify()
				s.awaitCalls(t, calls)
				is.Equal(s.lastWait(), time.Duration(0))
				serve(t, s.changes, noChanges)
				is.True(next(t, confirmed) >= asked)
			}
		})
	}
}

// TestVerifyDoesNotCancelACallThatDoesNotWait guards against requests that come faster than the
// store answers and cancel each other's call.
func TestVerifyDoesNotCancelACallThatDoesNotWait(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f, confirmed := followForProof(t, s, true)
	f.Verify()
	held, release := make(chan struct{}), make(chan struct{})
	serve(t, s.changes, func() (Delta, error) {
		close(held)
		<-release
		return noChanges()
	})
	next(t, held)
	asked := f.now()
	for range 5 {
		f.Verify()
	}
	close(release)
	is.True(next(t, confirmed) <= asked) // the first call was answered
	serve(t, s.changes, noChanges)
	is.True(next(t, confirmed) >= asked)
}
