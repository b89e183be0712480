package pairing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// If this daemon gets no processor time for longer than the request's patience,
// the owner's grant may have arrived but not been processed. The request must not
// time out because of the stall.
func TestStallDoesNotTimeOutARequest(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	end := patience + DefaultMargin
	out := a.Tick(end + 600*ms) // due at DefaultResend
	is.Equal(len(out.Answers), 0)
	out = a.Granted(testPool, grantOf("d2", 1))
	is.Equal(len(out.Answers), 1)
	is.True(out.Answers[0].Grant != nil)
}

// After a stall of this daemon the deadline is extended only once; then the caller
// gets an error.
func TestDeadlineIsExtendedOnceAfterAStall(t *testing.T) {
	is := is.New(t)
	a := newWaitingRequester(is, "d2")
	late := patience + DefaultMargin + 600*ms
	out := a.Tick(late)
	is.Equal(len(out.Answers), 0)
	is.Equal(len(out.Messages), 1) // the Want is resent
	is.Equal(a.Next(), late+stallGrace)
	out = a.Tick(late + stallGrace + time.Second) // stalled again
	is.Equal(len(out.Answers), 1)
	is.Equal(out.Answers[0].Err.Code, verdict.CodeUnavailable)
	is.Equal(out.Answers[0].Err.Verdict, verdict.NotRun)
	is.Equal(a.Len(), 0)
}

// The owner is stalled for longer than the request's patience for capacity, but the
// caller can wait longer. The delayed grant must still be used.
func TestStalledOwnerDoesNotTimeOutARequest(t *testing.T) {
	is := is.New(t)
	a := New(self, Options{})
	a.SetMembers(0, membersOwnedBy(a, "d2"))
	w := want("r")
	w.Lifetime = time.Minute
	a.Request(0, w, patience)
	for now := time.Duration(0); now < maxOwnerTimeout; now += 50 * ms {
		is.Equal(len(a.Tick(now).Answers), 0)
	}
	out := a.Granted(testPool, grantOf("d2", 1))
	is.Equal(len(out.Answers), 1)
	is.True(out.Answers[0].Grant != nil)
}

// The wait for an owner that does not answer must not last longer than the caller
// or a prefilled KV cache allows.
func TestOwnerTimeoutIsBoundedByTheLifetime(t *testing.T) {
	is := is.New(t)
	prefilled := New(self, Options{})
	w := want("r")
	w.Lifetime, w.Prefilled = time.Minute, true
	prefilled.Request(0, w, patience)
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
		a.Request(0, w, patience)
		for now := time.Duration(0); now < end; now += 50 * ms {
			is.Equal(len(a.Tick(now).Answers), 0)
		}
		out := a.Tick(end)
		is.Equal(len(out.Answers), 1)
		is.Equal(out.Answers[0].Err.Verdict, verdict.NotRun)
	}
}
