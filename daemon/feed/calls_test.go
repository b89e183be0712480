package feed

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// timedFollower is a Follower with a test clock, whose answers the test receives.
type timedFollower struct {
	*Follower
	now     atomic.Int64
	answers chan Answer
}

func followTimed(t *testing.T, s *source) *timedFollower {
	t.Helper()
	f := &timedFollower{answers: make(chan Answer, 16)}
	f.Follower = Start(Config{
		Name: "t", Source: s, Wait: testBound, Retry: time.Millisecond,
		Now:      func() time.Duration { return time.Duration(f.now.Load()) },
		Answered: func(a Answer) { f.answers <- a },
		Changed:  func(State) {},
		Lost:     func(error) {},
		Regained: func() {},
		Rand:     testRand(),
	})
	t.Cleanup(f.Close)
	return f
}

func (f *timedFollower) advance(d time.Duration) { f.now.Add(int64(d)) }

// delta returns an answer without changes that calls first before it is given.
func delta(newest uint64, clock time.Duration, first func()) func() (Delta, error) {
	return func() (Delta, error) {
		first()
		return Delta{Position: newest, Clock: clock}, nil
	}
}

func noop() {}

// An answer is not unbroken after a failed call, after an idle time, or if the
// process was paused during the call.
func TestAnswerIsUnbrokenOnlyAfterAnotherAnswer(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := followTimed(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	is.Equal(next(t, f.answers), Answer{Newest: 9})
	serve(t, s.changes, delta(12, time.Minute, func() { f.advance(time.Second) }))
	is.Equal(next(t, f.answers), Answer{Newest: 12, Clock: time.Minute, Unbroken: true})

	serve(t, s.changes, func() (Delta, error) { return Delta{}, errors.New("refused") })
	serve(t, s.changes, delta(13, time.Minute, noop))
	is.True(!next(t, f.answers).Unbroken)

	serve(t, s.changes, delta(13, time.Minute, func() { f.advance(2 * testBound) }))
	is.True(!next(t, f.answers).Unbroken) // the call took longer than its timeout

	serve(t, s.changes, delta(13, time.Minute, noop))
	is.True(next(t, f.answers).Unbroken)
}

// Nothing is known of the store during a gap between calls.
func TestGapBetweenCallsBreaksTheSequence(t *testing.T) {
	is := is.New(t)
	var c callSequence
	is.True(!c.answered(0, 1, testBound))
	is.True(c.answered(1+maxCallGap, 2+maxCallGap, testBound))
	is.True(!c.answered(3+2*maxCallGap, 4+2*maxCallGap, testBound))
	c.interrupted()
	is.True(!c.answered(5+2*maxCallGap, 6+2*maxCallGap, testBound))
	is.True(c.answered(6+2*maxCallGap, 7+2*maxCallGap, testBound))
}

// A poll cancels the pending call and calls again at once. The sequence of calls
// stays unbroken.
func TestPollCancelsThePendingCall(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := followTimed(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.answers)
	serve(t, s.changes, delta(9, time.Minute, noop))
	next(t, f.answers)
	s.awaitCalls(t, 2)
	is.True(s.lastWait() > 0)
	f.Poll()
	s.awaitCalls(t, 3)
	is.Equal(s.lastWait(), time.Duration(0))
	serve(t, s.changes, delta(9, time.Minute, noop))
	is.True(next(t, f.answers).Unbroken)
}

// awaitCalls waits until n calls for changes have begun.
func (s *source) awaitCalls(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(testBound); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		begun := len(s.waits)
		s.mu.Unlock()
		if begun >= n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d calls have begun, want %d", begun, n)
		}
	}
}

// A call that waits may hear nothing of the store's return. Whoever notices it has the
// others polled, however soon after their last poll.
func TestPollNowIgnoresTheIntervalBetweenPolls(t *testing.T) {
	is := is.New(t)
	s := newSource()
	f := followTimed(t, s)
	serve(t, s.reads, read(9, row("a", 3)))
	next(t, f.answers)
	s.awaitCalls(t, 1)
	f.Poll()
	s.awaitCalls(t, 2)
	is.Equal(s.lastWait(), time.Duration(0))
	serve(t, s.changes, delta(9, time.Minute, noop))
	s.awaitCalls(t, 3)
	f.Poll()
	is.True(s.lastWait() > 0) // too soon
	f.PollNow()
	s.awaitCalls(t, 4)
	is.Equal(s.lastWait(), time.Duration(0))
}
