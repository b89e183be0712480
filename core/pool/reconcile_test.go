package pool

import (
	"testing"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// A daemon that is partitioned during decoding never reports the end of the
// request. The slot must be freed by the engine's list, which lacks the request.
func TestSlotIsFreedWhenEngineNoLongerHoldsTheRequest(t *testing.T) {
	r := newRig(t, 1)
	g := r.sendWant("r1", "content")
	r.is.True(g != nil && g.Grant != nil)
	r.reportProgress(g.Grant, sched.Progress{Phase: sched.PhaseTransferring})
	r.reportProgress(g.Grant, sched.Progress{Phase: sched.PhaseDecoding})
	r.is.Equal(r.Status(r.now).Held, 1)

	nothing := map[id.Request]bool{}
	r.ReconcileHeld(r.now, g.Grant.Decode, nothing)
	r.is.Equal(r.Status(r.now).Held, 1) // sooner than reconcileAfter
	r.now += 2 * reconcileAfter
	r.ReconcileHeld(r.now, g.Grant.Decode, map[id.Request]bool{"r1": true})
	r.is.Equal(r.Status(r.now).Held, 1) // the engine still holds the request
	r.ReconcileHeld(r.now, g.Grant.Decode, nothing)
	r.is.Equal(r.Status(r.now).Held, 0)
}
