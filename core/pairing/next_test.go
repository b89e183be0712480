package pairing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// The caller of Tick sleeps until Next, so Next must return the times of the
// resend and of the timeout.
func TestNextIsTheResendOrTheTimeout(t *testing.T) {
	is := is.New(t)
	a := New(id.Process{Daemon: "a", Incarnation: 1}, Options{Resend: 250 * time.Millisecond, Margin: 100 * time.Millisecond})
	a.Tick(0)
	is.Equal(a.Next(), never)
	a.Request(time.Second, sched.Want{Request: "r", Pool: "p"}, 360*time.Millisecond)
	is.Equal(a.Next(), 1250*time.Millisecond)
	is.Equal(len(a.Tick(1250*time.Millisecond).Messages), 1) // resent
	is.Equal(a.Next(), 1460*time.Millisecond)
	is.Equal(len(a.Tick(1460*time.Millisecond).Answers), 1) // timed out
	is.Equal(a.Next(), never)
}

// With a constant resend interval, the owner of a pool received each of 477
// requests that waited for 3 s twelve times. Resending only compensates for lost
// messages, so the interval must grow.
func TestResendIntervalGrows(t *testing.T) {
	is := is.New(t)
	a := New(id.Process{Daemon: "a", Incarnation: 1}, Options{})
	a.Request(0, sched.Want{Request: "r", Pool: "p"}, 3*time.Second)
	var sent []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		if len(a.Tick(now).Messages) > 0 {
			sent = append(sent, now)
		}
	}
	is.Equal(sent[0], DefaultResend) // a lost Want is resent soon
	is.True(len(sent) <= 4)
}
