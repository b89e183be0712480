package kvsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/sched"
)

// usesLocalPrefill reports whether the last request is prefilled on the decode
// engine while the only prefill engine has 2 s of prompts queued.
func usesLocalPrefill(t *testing.T, running int, pause time.Duration, prompt int) bool {
	t.Helper()
	l := newLedger(t, document(1, 1, 100000))
	for i := range running {
		w := want(fmt.Sprint("r", i), 100, 1000)
		w.Pause = pause
		l.Adopt(start, sched.Adopt{
			Want:  w,
			Grant: sched.Grant{Request: w.Request, Decode: "decode-0", Reservation: uint64(i + 1)},
			Phase: sched.PhaseDecoding,
		})
	}
	prefill := l.endpoints["prefill-0"]
	prefill.addPrefill(start, &reservation{want: sched.Want{PromptTokens: 50000}})
	for _, g := range grants(l.Want(start, want("last", prompt, 100))) {
		if g.Prefill == "" {
			return true
		}
	}
	return false
}

// TestLongLocalPrefillDoesNotStallStreams: a decode engine prefilled a prompt
// of 6,600 tokens beside five streams, four of which then paused for more than
// 300 ms and were late.
func TestLongLocalPrefillDoesNotStallStreams(t *testing.T) {
	is := is.New(t)
	is.True(!usesLocalPrefill(t, 5, 300*time.Millisecond, 6600))
	is.True(usesLocalPrefill(t, 5, 300*time.Millisecond, 2500))
	is.True(!usesLocalPrefill(t, 5, 100*time.Millisecond, 2500))
	is.True(usesLocalPrefill(t, 5, 0, 6600)) // no stream bounds its pause
	is.True(usesLocalPrefill(t, 0, 0, 6600)) // no other streams
}

// TestLocalPrefillsDoNotShareOnePause: a second local prefill waits until the
// streams have sent an event.
func TestLocalPrefillsDoNotShareOnePause(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 1, 10000))
	e := &endpoint{decodes: []*reservation{{want: sched.Want{Pause: 300 * time.Millisecond}}}}
	w := &waiting{want: sched.Want{PromptTokens: 2000}}
	is.True(l.mayPrefillLocally(e, w))
	e.localPrefillUntil = l.now + localPrefillTime(w)
	l.now += localPrefillTime(w) + 200*time.Millisecond
	is.True(!l.mayPrefillLocally(e, w))
	l.now += 100 * time.Millisecond
	is.True(l.mayPrefillLocally(e, w))
}
