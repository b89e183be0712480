package kvsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
)

// restarted returns the document with one engine replaced by its incarnation
// that started at the given time.
func restarted(doc *live.Document, which int, startedUnixMS int64) *live.Document {
	out := *doc
	out.Endpoints = append([]live.Endpoint(nil), doc.Endpoints...)
	out.Endpoints[which].Name = registry.Incarnation("engine", startedUnixMS)
	return &out
}

// TestRestartedEngineHoldsNothing: a new incarnation of an engine holds neither
// memory nor batch slots of the former one's grants, and the end of the former
// work frees nothing on the new one.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	is := is.New(t)
	before := restarted(document(4, 1, 10000), 4, 100)
	l := newLedger(t, before)
	first := grants(l.Want(start, want("a", 6000, 1000)))
	is.Equal(len(first), 1)
	is.Equal(len(grants(l.Want(start, want("b", 6000, 1000)))), 0) // no memory is left
	now := start + 100*time.Millisecond
	second := grants(l.Configure(now, restarted(before, 4, 200)))
	is.Equal(len(second), 1)
	is.Equal(second[0].Decode, registry.Incarnation("engine", 200))
	is.Equal(len(grants(l.Progress(now, done(first[0], sched.PhaseDone)))), 0)
	is.Equal(len(grants(l.Want(now, want("c", 6000, 1000)))), 0) // b holds the memory
}

// TestRestartedEngineStartsWithFreshState: the prefill queue, rate, refusals
// and unreachability of the former incarnation do not carry over.
func TestRestartedEngineStartsWithFreshState(t *testing.T) {
	is := is.New(t)
	before := restarted(document(1, 2, 100000), 0, 100)
	l := newLedger(t, before)
	g := grants(l.Want(start, want("a", 3000, 100)))
	is.Equal(len(g), 1)
	now := start + 2*time.Second
	l.Progress(now, sched.Progress{Request: g[0].Request, Reservation: g[0].Reservation, Phase: sched.PhaseTransferring})
	former := l.endpoints[registry.Incarnation("engine", 100)]
	is.True(former.prefillRate.perSecond() < initialPrefillRate)
	l.Load(now, sched.Load{Endpoint: former.name})
	is.True(!former.available(now))
	l.Configure(now, restarted(before, 0, 200))
	present := l.endpoints[registry.Incarnation("engine", 200)]
	is.True(present.available(now))
	is.Equal(present.prefillRate.perSecond(), initialPrefillRate)
	is.Equal(len(present.prefills), 0)
	// Late reports about the former incarnation have no effect.
	l.Load(now, sched.Load{Endpoint: former.name})
	is.True(present.available(now))
}

// TestWorkOfFormerIncarnationIsNotAdopted: work at a former incarnation of an
// engine ended with its process, so a new owner does not adopt it.
func TestWorkOfFormerIncarnationIsNotAdopted(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, restarted(document(1, 1, 10000), 1, 200))
	l.Adopt(start, sched.Adopt{
		Want:  want("a", 8000, 1000),
		Grant: sched.Grant{Request: "a", Decode: registry.Incarnation("engine", 100), Reservation: 1},
		Phase: sched.PhaseDecoding,
	})
	is.Equal(len(l.granted), 0)
	is.Equal(len(grants(l.Want(start, want("b", 8000, 1000)))), 1)
}
