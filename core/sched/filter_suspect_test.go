package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

func TestSuspectFilterIsolates(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	e := testEndpoint("e", live.RoleDecode)
	c.want.Suspect = true
	keeps(is, suspectFilter{}, c, e, true)
	holdUntil(e, c.now+ms)
	keeps(is, suspectFilter{}, c, e, false)
	c.waited = 600 * ms // more than half of its patience
	keeps(is, suspectFilter{}, c, e, true)
	e.suspect = e.held[0]
	keeps(is, suspectFilter{}, c, e, false)
	c.want.Suspect = false
	keeps(is, suspectFilter{}, c, e, false)
}

func TestSuspectSharesNoEndpoint(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	suspect := testWant(1, teamName(0))
	suspect.Suspect = true
	g := onlyGrant(t, l.Want(ms, suspect))
	beside := onlyGrant(t, l.Want(ms, testWant(2, teamName(0))))
	is.True(beside.Prefill != g.Prefill)
	is.True(beside.Decode != g.Decode)
	l.Progress(2*ms, progressOf(beside, PhaseTransferring))
	again := onlyGrant(t, l.Want(3*ms, testWant(3, teamName(0))))
	is.Equal(again.Decode, beside.Decode)
	l.Progress(4*ms, progressOf(g, PhaseDone))
	is.Equal(l.endpoints[g.Decode].suspect, nil)
}
