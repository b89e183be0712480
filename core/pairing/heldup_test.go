package pairing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestADaemonThatWasHeldUpHearsItsOwner: this daemon got no processor for longer
// than the request waits. Its owner's grant lies ready, and must not be given up
// for the daemon's own time.
func TestADaemonThatWasHeldUpHearsItsOwner(t *testing.T) {
	is := is.New(t)
	a := asking(is, "d2")
	end := patience + DefaultMargin
	out := a.Tick(end + 600*ms) // due at DefaultResend
	is.Equal(len(out.Answers), 0)
	out = a.Granted(testPool, grantOf("d2", 1))
	is.Equal(len(out.Answers), 1)
	is.True(out.Answers[0].Grant != nil)
}

// TestAnOwnerThatStaysSilentIsGivenUp: one that was held up waits a little more,
// once, and is told.
func TestAnOwnerThatStaysSilentIsGivenUp(t *testing.T) {
	is := is.New(t)
	a := asking(is, "d2")
	late := patience + DefaultMargin + 600*ms
	out := a.Tick(late)
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Messages), 1) // the want goes out again
	is.Equal(a.Next(), late+heldUpGrace)
	out = a.Tick(late + heldUpGrace + time.Second) // held up once more
	is.Equal(len(out.Answers), 1)
	is.Equal(out.Answers[0].Err.Code, verdict.CodeUnavailable)
	is.Equal(out.Answers[0].Err.Verdict, verdict.NotRun)
	is.Equal(a.Len(), 0)
}
