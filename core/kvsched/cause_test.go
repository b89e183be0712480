package kvsched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// fillPool grants one large request to each of n engines, all of which decode from start on.
func fillPool(t *testing.T, l *Ledger, n, prompt, output int) []*sched.Grant {
	t.Helper()
	var running []*sched.Grant
	for i := range n {
		g := grants(l.Want(start, want(fmt.Sprint("running-", i), prompt, output)))
		if len(g) == 0 {
			t.Fatal("no grant on an idle pool")
		}
		l.Progress(start, done(g[0], sched.PhaseDecoding))
		running = append(running, g[0])
	}
	return running
}

// ticks lets time pass, and returns all actions.
func ticks(l *Ledger, from, until time.Duration) []sched.Action {
	var actions []sched.Action
	for now := from; now <= until; now += queuePollInterval {
		actions = append(actions, l.Tick(now)...)
	}
	return actions
}

// TestUntriedRequestIsRefusedWithACause: behind a late request, for which little room is kept
// free, others waited out their patience without being tried, and their refusals had no cause.
func TestUntriedRequestIsRefusedWithACause(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(4, 1, 10000))
	fillPool(t, l, 1, 8000, 900)
	for i, patience := range []time.Duration{3 * time.Second, time.Second} {
		w := want(fmt.Sprint("late-", i), 500, 10)
		w.Target, w.Patience = 10*time.Millisecond, patience
		l.Want(start+time.Duration(i)*time.Millisecond, w)
	}
	refused := refusals(ticks(l, start, start+1500*time.Millisecond))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Request, id.Request("late-1"))
	is.True(strings.HasSuffix(refused[0].Reason, "those before it wait: "+causeLate))
}
