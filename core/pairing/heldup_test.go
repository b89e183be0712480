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
	a := newWaitingAsker(is, "d2")
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
	a := newWaitingAsker(is, "d2")
	late := patience + DefaultMargin + 600*ms
	out := a.Tick(late)
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Messages), 1) // the want goes out again
	is.Equal(a.Next(), late+stallGrace)
	out = a.Tick(late + stallGrace + time.Second) // held up once more
	is.Equal(len(out.Answers), 1)
	is.Equal(out.Answers[0].Err.Code, verdict.CodeUnavailable)
	is.Equal(out.Answers[0].Err.Verdict, verdict.NotRun)
	is.Equal(a.Len(), 0)
}

// TestAnOwnerThatIsHeldUpCostsNoRequest whose caller can wait longer than it may
// wait for room: the owner's grant comes late, and nobody refused it.
func TestAnOwnerThatIsHeldUpCostsNoRequest(t *testing.T) {
	is := is.New(t)
	a := New(self, Options{})
	a.Members(0, membersOwnedBy(a, "d2"))
	w := want("r")
	w.Lifetime = time.Minute
	a.Ask(0, w, patience)
	for now := time.Duration(0); now < maxOwnerTimeout; now += 50 * ms {
		is.Equal(len(a.Tick(now).Answers), 0)
	}
	out := a.Granted(testPool, grantOf("d2", 1))
	is.Equal(len(out.Answers), 1)
	is.True(out.Answers[0].Grant != nil)
}

// TestAnOwnerThatStaysSilentIsGivenUpInTime: no later than the caller can wait.
func TestAnOwnerThatStaysSilentIsGivenUpInTime(t *testing.T) {
	is := is.New(t)
	prefilled := New(self, Options{})
	w := want("r")
	w.Lifetime, w.Prefilled = time.Minute, true
	prefilled.Ask(0, w, patience)
	is.Equal(len(prefilled.Tick(0).Answers), 0)
	is.Equal(prefilled.Next(), DefaultResend)
	for now := 50 * ms; now < patience+DefaultMargin; now += 50 * ms {
		is.Equal(len(prefilled.Tick(now).Answers), 0)
	}
	is.Equal(len(prefilled.Tick(patience+DefaultMargin).Answers), 1)
	for lifetime, end := range map[time.Duration]time.Duration{
		0:                            patience + DefaultMargin,
		patience:                     patience + DefaultMargin,
		patience + DefaultMargin + 9: patience + DefaultMargin + 9,
		time.Minute:                  maxOwnerTimeout,
	} {
		a := New(self, Options{})
		w := want("r")
		w.Lifetime = lifetime
		a.Ask(0, w, patience)
		for now := time.Duration(0); now < end; now += 50 * ms {
			is.Equal(len(a.Tick(now).Answers), 0)
		}
		out := a.Tick(end)
		is.Equal(len(out.Answers), 1)
		is.Equal(out.Answers[0].Err.Verdict, verdict.NotRun)
	}
}
