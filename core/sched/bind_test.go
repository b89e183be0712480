package sched

import (
	"testing"

	"github.com/matryer/is"
)

func TestProvisionalGrantIsBoundWhenSlotIsFree(t *testing.T) {
	is := is.New(t)
	l := smallLedger(t)
	first := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	is.True(!first.Provisional) // its slot is free
	p := progressOf(first, PhaseDecoding)
	p.OutputTokens = 18 // of 20: its release is predicted soon
	l.Progress(2*ms, p)
	second := onlyGrant(t, l.Want(3*ms, testWant(2, teamName(0))))
	is.True(second.Provisional)
	is.True(second.BindWithin > 0)
	is.True(second.BindWithin < l.options.KVLife)
	is.Equal(len(l.Progress(4*ms, progressOf(second, PhaseTransferring))), 0) // the slot is not free yet
	actions := l.Progress(5*ms, progressOf(first, PhaseDone))
	is.Equal(len(actions), 1)
	is.Equal(*actions[0].Binding, Binding{Request: second.Request, Reservation: second.Reservation, Decode: second.Decode})
	is.Equal(len(l.Progress(6*ms, progressOf(second, PhaseDecoding))), 0) // the Binding is sent once
	l.Audit()
}
