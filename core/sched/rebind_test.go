package sched

import (
	"testing"

	"github.com/matryer/is"
)

// TestRebindUsesFirstFreeSlotInPool fills all slots, lets one request wait for a
// predicted release and then frees a slot of another endpoint.
func TestRebindUsesFirstFreeSlotInPool(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 2))
	now := ms
	var running []*Grant
	for n := 1; freeSlots(l) > 0; n++ {
		g := onlyGrant(t, l.Want(now, testWant(n, teamName(0))))
		running = append(running, g)
		now += ms
		l.Progress(now, progressOf(g, PhaseTransferring))
	}
	for _, g := range running {
		p := progressOf(g, PhaseDecoding)
		p.OutputTokens = 18 // of 20: its release is predicted soon
		now += ms
		l.Progress(now, p)
	}
	waiting := onlyGrant(t, l.Want(now, testWant(len(running)+1, teamName(0))))
	is.True(waiting.Provisional)
	l.Progress(now+ms, progressOf(waiting, PhaseTransferring))
	var other *Grant
	for _, g := range running {
		if g.Decode != waiting.Decode {
			other = g
		}
	}
	is.True(other != nil)
	actions := l.Progress(now+2*ms, progressOf(other, PhaseDone))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Binding.Decode, other.Decode) // not the endpoint for which it waited
	l.Audit()
}

// freeSlots counts the free slots of the pool.
func freeSlots(l *Ledger) int {
	n := 0
	for _, e := range l.endpoints {
		if e.role() == "decode" {
			n += e.free(l.now)
		}
	}
	return n
}
