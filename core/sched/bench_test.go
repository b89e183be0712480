package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// benchmarkDecision measures the full life of a request in the ledger: a Want
// with its grant and the four Progress messages of its phases.
func benchmarkDecision(b *testing.B, endpoints, teams int) {
	o := testOptions(b)
	l := testLedger(b, o, testDocument(endpoints, teams))
	now := 1000 * ms
	inUse := make([]*Grant, 0, endpoints)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += ms / 10
		if len(inUse) == cap(inUse) {
			finishOne(l, now, inUse[0])
			inUse = append(inUse[:0], inUse[1:]...)
		}
		w := testWant(i, teamName(i%teams))
		w.Prefix = []uint64{uint64(i % 100), uint64(i%100) + 1000}
		actions := l.Want(now, w)
		if len(actions) == 1 && actions[0].Grant != nil {
			g := actions[0].Grant
			l.Progress(now, progressOf(g, PhasePrefilling))
			l.Progress(now, progressOf(g, PhaseTransferring))
			l.Progress(now, progressOf(g, PhaseDecoding))
			inUse = append(inUse, g)
		}
	}
}

// finishOne ends a request.
func finishOne(l *Ledger, now time.Duration, g *Grant) {
	l.Progress(now, progressOf(g, PhaseDone))
}

// benchmarkBlocked measures a scheduling attempt that finds no free slot.
func benchmarkBlocked(b *testing.B, endpoints, teams int) {
	l := testLedger(b, testOptions(b), testDocument(endpoints, teams))
	now := 1000 * ms
	for i := range endpoints * 4 {
		l.Want(now, testWant(i, teamName(i%teams)))
	}
	is.New(b).True(l.blocked) // the queue is blocked
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		l.dispatch(nil)
	}
}

// sizes lists the numbers of endpoints and teams of the benchmarks.
var sizes = [][2]int{{22, 4}, {22, 900}, {900, 900}}

// BenchmarkDecision measures the cost of a request in the ledger.
func BenchmarkDecision(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d/teams=%d", s[0], s[1]), func(b *testing.B) {
			benchmarkDecision(b, s[0], s[1])
		})
	}
}

// BenchmarkBlocked measures the cost of an attempt that finds no free slot.
func BenchmarkBlocked(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d/teams=%d", s[0], s[1]), func(b *testing.B) {
			benchmarkBlocked(b, s[0], s[1])
		})
	}
}
