package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

func TestLeavingFilterHonoursEachSource(t *testing.T) {
	sources := map[string]func(e *endpoint){
		"label":   func(e *endpoint) { e.labelLeaving = true },
		"report":  func(e *endpoint) { e.reported, e.report.Leaving = true, true },
		"refusal": func(e *endpoint) { e.refusedLeaving = true },
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := testEndpoint("e", live.RoleDecode)
			keeps(is, leavingFilter{}, nil, e, true)
			leave(e)
			keeps(is, leavingFilter{}, nil, e, false)
		})
	}
}

func TestNothingIsGrantedToALeavingEndpoint(t *testing.T) {
	is := is.New(t)
	doc := testDocument(4, 1)
	l := testLedger(t, testOptions(t), doc)
	g := onlyGrant(t, l.Want(ms, testWant(1, teamName(0))))
	failed := progressOf(g, PhaseFailed)
	failed.Endpoint = g.Decode
	failed.Leaving = true
	l.Progress(2*ms, failed)
	stale := Load{Endpoint: g.Decode, Reachable: true, Model: "m"}
	l.Load(3*ms, stale) // made before the refusal
	for n := 2; n < 6; n++ {
		next := onlyGrant(t, l.Want(timeMS(n+3), testWant(n, teamName(0))))
		is.True(next.Decode != g.Decode)
		l.Progress(timeMS(n+3), progressOf(next, PhaseDone))
	}
	l.Load(3000*ms, stale) // after LeavingHold the report outweighs the refusal
	is.Equal(len(l.Snapshot().Leaving), 0)
}
