package kvsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
)

// restarted is the document with one engine's later start in place of the
// former one.
func restarted(doc *live.Document, which int, born int64) *live.Document {
	out := *doc
	out.Endpoints = append([]live.Endpoint(nil), doc.Endpoints...)
	out.Endpoints[which].Name = registry.Incarnation("engine", born)
	return &out
}

// TestRestartedEngineHoldsNothing of what was granted at its former start:
// neither memory nor places in its batch, and the end of that work frees
// nothing of its own.
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
	is.Equal(len(grants(l.Want(now, want("c", 6000, 1000)))), 0) // b holds its memory
}

// TestRestartedEngineStartsWithFreshState: its queue of prefills, its
// rate, its refusals and its silence.
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
	// What is still told of the former start concerns nobody.
	l.Load(now, sched.Load{Endpoint: former.name})
	is.True(present.available(now))
}

// TestWorkOfFormerIncarnationIsNotAdopted by a new owner: it ended with its
// process.
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
