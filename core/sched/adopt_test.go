package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestResumedAnswerHoldsItsSlot: a caller reconnects through another daemon,
// which knows the decode endpoint only. The slot stays held until the answer is
// complete, even after the former daemon's grant is released.
func TestResumedAnswerHoldsItsSlot(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(2, 1))
	g := onlyGrant(t, l.Want(3*ms, testWant(1, teamName(0))))
	l.Progress(4*ms, progressOf(g, PhaseTransferring))
	l.Progress(5*ms, progressOf(g, PhaseDecoding))
	is.Equal(l.Snapshot().Held, 1)

	other := id.Process{Daemon: "other", Incarnation: 1}
	want := testWant(1, teamName(0))
	want.From = other
	l.Adopt(6*ms, Adopt{Want: want, Grant: Grant{Request: g.Request, Decode: g.Decode, Owner: other}, Phase: PhaseDecoding})
	is.Equal(l.Snapshot().Held, 1)
	l.Progress(7*ms, progressOf(g, PhaseCancelled)) // late message of the former daemon
	l.ProcessGone(8*ms, testWant(1, teamName(0)).From)
	is.Equal(l.Snapshot().Held, 1)
	l.Audit()
	late := onlyRefusal(t, l.Want(8*ms, testWant(1, teamName(0)))) // duplicate Want of the former daemon
	is.Equal(late.Code, verdict.CodeSuperseded)
	is.Equal(l.Snapshot().Held, 1)
	l.Progress(9*ms, Progress{Request: g.Request, Phase: PhaseDone, OutputTokens: 20})
	is.Equal(l.Snapshot().Held, 0)
	l.Audit()
}

// TestAdoptIgnoresUnknownPrefillEndpoint: a grant before its first token can't be
// adopted if its prefill endpoint is unknown.
func TestAdoptIgnoresUnknownPrefillEndpoint(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(2, 1))
	l.Adopt(3*ms, Adopt{
		Want: testWant(1, teamName(0)), Phase: PhaseTransferring,
		Grant: Grant{Request: testWant(1, teamName(0)).Request, Prefill: "gone", Decode: "decode-000"},
	})
	is.Equal(l.Snapshot().Held, 0)
	is.Equal(l.Snapshot().Running, 0)
}
