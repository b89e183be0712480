package pairing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// TestNextIsWhenAnUnansweredWantNeedsAttention: whoever drives the asker sleeps
// until Next, so it must name the resend and the giving up.
func TestNextIsWhenAnUnansweredWantNeedsAttention(t *testing.T) {
	is := is.New(t)
	a := New(id.Process{Daemon: "a", Incarnation: 1}, Options{Resend: 250 * time.Millisecond, Margin: 100 * time.Millisecond})
	a.Tick(0)
	is.Equal(a.Next(), never)
	a.Ask(time.Second, sched.Want{Request: "r", Pool: "p"}, 360*time.Millisecond)
	is.Equal(a.Next(), 1250*time.Millisecond)
	is.Equal(len(a.Tick(1250*time.Millisecond).Messages), 1) // sent again
	is.Equal(a.Next(), 1460*time.Millisecond)
	is.Equal(len(a.Tick(1460*time.Millisecond).Answers), 1) // given up
	is.Equal(a.Next(), never)
}

// TestAWaitingWantIsSentAgainLessAndLess: 477 requests waited for 3 s each at a
// pool's owner, which got each of them twelve times. With an answer to give, an
// owner gives it; what a repeat makes up for is a message that was lost.
func TestAWaitingWantIsSentAgainLessAndLess(t *testing.T) {
	is := is.New(t)
	a := New(id.Process{Daemon: "a", Incarnation: 1}, Options{})
	a.Ask(0, sched.Want{Request: "r", Pool: "p"}, 3*time.Second)
	var sent []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		if len(a.Tick(now).Messages) > 0 {
			sent = append(sent, now)
		}
	}
	is.Equal(sent[0], DefaultResend) // one that was lost is soon made up for
	is.True(len(sent) <= 4)
}
