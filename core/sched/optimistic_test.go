package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

func TestOptimisticPrefersLessLoaded(t *testing.T) {
	is := is.New(t)
	doc := testDocument(4, 1)
	o := NewOptimistic(testOptions(t)).(*Optimistic)
	o.Configure(0, doc)
	busy, idle := doc.Endpoints[1].Name, doc.Endpoints[3].Name
	o.Load(ms, Load{Endpoint: busy, Reachable: true, Model: "m", Running: 100})
	counts := 0
	for n := range 40 {
		if onlyGrant(t, o.Want(2*ms, testWant(n, teamName(0)))).Decode == idle {
			counts++
		}
	}
	is.True(counts > 20) // except where both draws return the busy one
	is.Equal(o.inFlight[idle], counts)
	o.Tick(o.Next())
	is.Equal(o.inFlight[idle], 0) // grants without progress expire
}

func TestOptimisticAvoidsLeavingEndpoints(t *testing.T) {
	is := is.New(t)
	doc := testDocument(2, 1)
	o := NewOptimistic(testOptions(t))
	o.Configure(0, doc)
	g := onlyGrant(t, o.Want(ms, testWant(1, teamName(0))))
	failed := progressOf(g, PhaseFailed)
	failed.Endpoint, failed.Leaving = g.Prefill, true
	o.Progress(2*ms, failed)
	refusal := onlyRefusal(t, o.Want(3*ms, testWant(2, teamName(0))))
	is.Equal(refusal.Code, verdict.CodeNoEndpoint)
}
