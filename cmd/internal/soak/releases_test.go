package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// planOf returns the faults that a seed draws for a run of three daemons with releases.
func planOf(seed uint64) []fault {
	r := &run{cfg: Config{Scenario: Releases, Daemons: 3}, processes: []*process{{name: "d1"}, {name: "d2"}, {name: "d3"}}}
	return r.plan(rand.New(rand.NewPCG(seed, 1)), time.Minute)
}

// A seed must always give the same releases and faults; over some seeds each kind of them
// must occur, also a version that comes back.
func TestPlanOfReleasesIsReproducibleAndWhole(t *testing.T) {
	is := is.New(t)
	names := func(seed uint64) []string {
		var out []string
		for _, f := range planOf(seed) {
			out = append(out, f.start.String()+" "+f.name)
		}
		return out
	}
	is.Equal(names(7), names(7))
	is.True(!slices.Equal(names(7), names(8)))
	all := strings.Join(slices.Concat(names(1), names(2), names(3)), "\n")
	for _, kind := range []string{"kill all daemons\n", "kill all daemons but d", "stop d", "suspend all daemons", "announced true", "announced false", "software v1,"} {
		is.True(strings.Contains(all, kind)) // each kind is drawn
	}
}

// The faults of a run with releases must start in order, and only those of daemons may
// affect a component.
func TestPlanOfReleasesIsInOrder(t *testing.T) {
	is := is.New(t)
	plan := planOf(7)
	is.True(slices.IsSortedFunc(plan, func(a, b fault) int { return int(a.start - b.start) }))
	is.True(plan[len(plan)-1].start < time.Minute) // no fault after the end
	for _, f := range plan {
		is.Equal(f.planned, len(f.processes) == 0)
	}
}

// The events must name the version that wrote them, and the caller's check must see them
// without it, also when the last one is cut anywhere.
func TestEventsNameTheirVersion(t *testing.T) {
	is := is.New(t)
	old, other := &platformtest.Runner{Software: "v1"}, &platformtest.Runner{Software: "v12"}
	body := event(old, 1) + event(old, 2) + event(other, 3)
	plain, software := splitSoftware(body)
	is.Equal(plain, platformtest.Events(1, 3))
	is.Equal(union(nil, software), []string{"v1", "v12"})
	is.Equal(union([]string{"v12"}, software), []string{"v12", "v1"})
	for cut := range len(body) {
		_, software := splitSoftware(body[:cut])
		is.True(len(union(software, []string{"v1", "v12"})) == 2) // no version that nobody has
	}
}

// The checker must report streams that are taken up at daemons left alone and don't go on,
// in proportion to the new ones that begin, and only if there are enough of them.
func TestCheckerFindsLostTakeUps(t *testing.T) {
	is := is.New(t)
	violations := func(left, fresh share) int {
		v, check := newVersions(), newChecker()
		v.left, v.fresh = left, fresh
		v.check(check)
		return len(check.violations)
	}
	is.Equal(violations(share{12, 5}, share{10, 10}), 1)
	is.Equal(violations(share{12, 6}, share{10, 10}), 0)
	is.Equal(violations(share{11, 0}, share{10, 10}), 0)
	is.Equal(violations(share{12, 3}, share{10, 5}), 0)
	is.Equal(violations(share{12, 2}, share{10, 5}), 1)
	is.Equal(violations(share{12, 0}, share{}), 0)
}

// Only requests to daemons left alone whose callers wait and that no runner refuses by design
// may count for the share of the streams that go on.
func TestOnlySoundRequestsCountForTheShare(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		o      outcome
		counts bool
	}{
		{outcome{id: "c5-5", alone: true}, true},
		{outcome{id: "c5-5", stable: true}, false},
		{outcome{id: "c5-5", alone: true, abandoned: true}, false},
		{outcome{id: "c5-17", alone: true}, false},
		{outcome{id: limitedCaller + "-5", alone: true}, false},
	}
	for _, c := range cases {
		is.Equal(c.o.countsForShare(), c.counts)
	}
	v := newVersions()
	o := outcome{id: "c5-5", kind: kinds[3], alone: true}
	v.recordNew(o)
	o.answer.Body = platformtest.Event(1)
	v.recordNew(o)
	o.kind = kinds[0]
	v.recordNew(o)
	is.Equal(v.fresh, share{streams: 2, served: 1})
}

// A release must replace the oldest engine of another version, which keeps its entry only if
// it announces that it leaves; a version serves while enough of its engines are ready.
func TestReleaseReplacesTheOldestEngine(t *testing.T) {
	is := is.New(t)
	s, err := newSimulation(newChecker(), 3, Releases)
	is.NoErr(err)
	defer s.close()
	first := s.oldestOther("v2")
	is.True(s.serves("v1"))
	is.True(!s.serves("v2"))
	is.NoErr(s.releaseEngine("v2", false, time.Hour))
	is.True(!s.store.Registered(first.Runner))
	for range engineRunners(3, 1) {
		is.NoErr(s.releaseEngine("v2", true, time.Hour))
	}
	is.True(s.oldestOther("v2") == nil)
	is.True(s.serves("v2"))
	is.True(!s.serves("v1"))
	stages := map[string]int{}
	for _, r := range s.runners {
		if r.Service == engineSvc && r.state == platformtest.StateReady {
			stages[r.Stage()]++
		}
	}
	is.Equal(stages, map[string]int{"prefill": 2, "decode": 4})
}
