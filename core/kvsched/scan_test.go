package kvsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	decodeEngines  = 68 // decode engines
	queuedRequests = 400
)

// fullPool returns the ledger of a full pool with a queue of requests of many
// sizes, and one of the running grants.
func fullPool(t *testing.T) (l *Ledger, running *sched.Grant) {
	t.Helper()
	l = newLedger(t, document(22, decodeEngines, 10000))
	for i := range decodeEngines {
		g := grants(l.Want(start, want(fmt.Sprint("running-", i), 9000, 10)))
		if len(g) == 0 {
			t.Fatal("no grant on an idle pool")
		}
		running = g[0]
		l.Progress(start, done(running, sched.PhaseTransferring))
		l.Progress(start, done(running, sched.PhaseDecoding))
	}
	for i := range queuedRequests {
		l.Want(start, want(fmt.Sprint("waits-", i), 2000+i%97*60, 10+i%89*5))
	}
	return l, running
}

// TestScanOfLongQueueTriesFewEngines: an owner that evaluated every engine for
// every waiting request at every event used 0.18 of a core at 96 requests a
// second, on a host with a quota of 0.192 of a core.
func TestScanOfLongQueueTriesFewEngines(t *testing.T) {
	is := is.New(t)
	l, _ := fullPool(t)
	before := l.Tried()
	l.Tick(start + time.Millisecond)
	t.Logf("%d engines tried for %d requests", l.Tried()-before, queuedRequests)
	is.True(l.Tried()-before <= 20*decodeEngines)
	is.Equal(len(l.queue), queuedRequests)
}

// TestEventsThatFreeNothingCauseNoScan: a repeated want and the start of a
// prefill let no request be granted; the end of an answer does.
func TestEventsThatFreeNothingCauseNoScan(t *testing.T) {
	is := is.New(t)
	l, running := fullPool(t)
	before := l.Tried()
	l.Want(start+time.Millisecond, want("waits-7", 2420, 45))
	l.Progress(start+time.Millisecond, done(running, sched.PhasePrefilling))
	is.Equal(l.Tried(), before)
	is.True(len(grants(l.Progress(start+time.Millisecond, done(running, sched.PhaseDone)))) > 0)
}
