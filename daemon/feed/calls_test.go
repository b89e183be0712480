package feed

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// timed is a Follower whose time the test hands in, and whose answers it reads.
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
		Back:     func() {},
		Rand:     testRand(),
	})
	t.Cleanup(f.Close)
	return f
}

func (f *timedFollower) advance(d time.Duration) { f.now.Add(int64(d)) }

// delta is an answer without changes; first is done before.
func delta(newest uint64, clock time.Duration, first func()) func() (Delta, error) {
	return func() (Delta, error) {
		first()
		return Delta{Position: newest, Clock: clock}, nil
	}
}

func noop() {}

// TestAnAnswerIsUnbrokenOnlyBehindAnother: not behind a failure, a rest, or time in
// which the process was held up.
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
	is.True(!next(t, f.answers).Unbroken) // it took longer than it may

	serve(t, s.changes, delta(13, time.Minute, noop))
	is.True(next(t, f.answers).Unbroken)
}

// TestCallsThatWereNotMadeBreakTheRow: nobody was asked meanwhile.
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

// TestAPollGivesUpTheCallThatWaits and asks at once, which breaks nothing.
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

// awaitCalls waits until n calls for changes were begun.
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
			t.Fatalf("%d calls were begun, not %d", begun, n)
		}
	}
}
