package kvsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// TestPrefilledRequestWaitsForMemory: an engine is lost in a burst while all
// others are full, and one of them has enough memory shortly after, before the
// KV cache of the prompt expires.
func TestPrefilledRequestWaitsForMemory(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(2, 1, 10000))
	running := grants(l.Want(start, want("running", 7000, 10)))[0]
	l.Progress(start, done(running, sched.PhaseDecoding))
	w := want("read", 6000, 10)
	w.Prefilled = true
	w.Patience = 350 * time.Millisecond
	is.Equal(len(l.Want(start, w)), 0)
	is.Equal(len(grants(l.Want(start+50*time.Millisecond, want("new", 6000, 10)))), 0)
	got := grants(l.Progress(start+200*time.Millisecond, done(running, sched.PhaseDone)))
	is.Equal(len(got), 1) // granted before the new request, which waits too
	is.Equal(got[0].Request, id.Request("read"))
	is.Equal(got[0].Prefill, id.Endpoint(""))
}

func TestPrefilledRequestIsRefusedAfterKVCacheExpires(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(2, 1, 10000))
	l.Want(start, want("running", 7000, 10))
	w := want("read", 6000, 10)
	w.Prefilled = true
	w.Patience = 350 * time.Millisecond
	l.Want(start, w)
	is.Equal(len(refusals(l.Tick(start+349*time.Millisecond))), 0)
	is.Equal(len(refusals(l.Tick(start+350*time.Millisecond))), 1)
}
