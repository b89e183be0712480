package pool

import (
	"testing"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// TestSlotOfASilentDaemonIsFreedByTheEnginesWord: a daemon was cut off while
// its answer was written; the engine ended it long ago.
func TestSlotOfASilentDaemonIsFreedByTheEnginesWord(t *testing.T) {
	r := newRig(t, 1)
	g := r.ask("r1", "content")
	r.is.True(g != nil && g.Grant != nil)
	r.progress(g.Grant, sched.Progress{Phase: sched.PhaseTransferring})
	r.progress(g.Grant, sched.Progress{Phase: sched.PhaseDecoding})
	r.is.Equal(r.Status(r.now).Held, 1)

	nothing := map[id.Request]bool{}
	r.Holding(r.now, g.Grant.Decode, nothing)
	r.is.Equal(r.Status(r.now).Held, 1) // too soon to tell
	r.now += 2 * reconcileAfter
	r.Holding(r.now, g.Grant.Decode, map[id.Request]bool{"r1": true})
	r.is.Equal(r.Status(r.now).Held, 1) // the engine still has it
	r.Holding(r.now, g.Grant.Decode, nothing)
	r.is.Equal(r.Status(r.now).Held, 0)
}
