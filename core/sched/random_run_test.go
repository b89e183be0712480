package sched

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// eventsVariable is the environment variable with the number of events of a
// randomized run.
const eventsVariable = "SAMPHIREQUAY_SCHED_EVENTS"

// eventCount returns the number of events over all seeds of a randomized run.
func eventCount(t *testing.T) int {
	text := os.Getenv(eventsVariable)
	if text == "" {
		return 100_000
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", eventsVariable, err)
	}
	return n
}

// TestRandomRun injects faults and asserts that no invariant is violated, that
// each call is answered and that everything is released at the end.
func TestRandomRun(t *testing.T) {
	const seeds = 10
	events := eventCount(t) / seeds
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := testOptions(t)
			o.Seed = seed
			o.Reservation = Reservation(seed % 2)
			sim := newSimulation(t, seed, o, testDocument(22, 5), true)
			for i := range 5 {
				sim.arrivals(teamName(i), 25*ms, events, sim.randomize)
			}
			sim.injectFaults(events)
			sim.run()
			sim.assertEnd()
			is.True(sim.granted > events/50) // requests were granted
			is.True(sim.refused > 0)         // and overload occurred
			is.Equal(sim.bound > 0, o.Reservation == JustInTime)
		})
	}
}

// randomize sets random properties of a request.
func (sim *simulation) randomize(want *Want) {
	want.PromptTokens = 200 + sim.random.IntN(8000)
	want.OutputTokens = 1 + sim.random.IntN(60)
	want.Priority = sim.random.IntN(12)
	want.Suspect = sim.chance(0.01)
	block := uint64(sim.random.IntN(20)) + 100
	want.Prefix = []uint64{block, block * 31, block * 37}
	if sim.chance(0.03) {
		want.Avoid = []id.Endpoint{sim.doc.Endpoints[sim.random.IntN(len(sim.doc.Endpoints))].Name}
	}
}

// injectFaults sends reports and cache events, changes the configuration, stops
// daemons and replaces the owner at random until the given number of events.
func (sim *simulation) injectFaults(until int) {
	if sim.events >= until {
		sim.endFaults()
		return
	}
	switch n := sim.random.IntN(100); {
	case n < 70:
		sim.sendLoad()
	case n < 85:
		e := sim.doc.Endpoints[sim.random.IntN(len(sim.doc.Endpoints))].Name
		event := CacheEvent{Endpoint: e, Block: uint64(sim.random.IntN(20)) + 100, Stored: sim.random.IntN(2) == 0}
		sim.ledger.Cache(sim.now, e, []CacheEvent{event}, sim.chance(0.1))
	case n < 95:
		sim.reconfigure()
	case n < 97:
		sim.killDaemon()
	case n < 98:
		sim.changeOwner()
	}
	sim.after(sim.between(ms, 40*ms), func() { sim.injectFaults(until) })
}

// sendLoad sends an endpoint's load report from the simulation's own record.
func (sim *simulation) sendLoad() {
	e := sim.doc.Endpoints[sim.random.IntN(len(sim.doc.Endpoints))]
	load := Load{Endpoint: e.Name, Incarnation: 1, Slots: e.Slots, Reachable: !sim.chance(0.05), Model: "m"}
	load.Leaving = sim.chance(0.03)
	for _, c := range sim.calls {
		if c.grant != nil && c.grant.Decode == e.Name && c.phase >= PhaseTransferring {
			load.Running++
		}
	}
	sim.after(sim.between(0, 200*ms), func() { sim.deliver(sim.ledger.Load(sim.now, load)) })
}

// reconfigure changes a label, a slot count and a weight.
func (sim *simulation) reconfigure() {
	doc := testDocument(22, 5)
	doc.Revision = sim.doc.Revision + 1
	e := &doc.Endpoints[sim.random.IntN(len(doc.Endpoints))]
	e.Labels[live.LabelLeaving] = "true"
	doc.Endpoints[sim.random.IntN(len(doc.Endpoints))].Slots = 1 + sim.random.IntN(6)
	doc.Teams[sim.random.IntN(len(doc.Teams))].Weight = 1 + sim.random.Float64()
	sim.doc = doc
	sim.deliver(sim.ledger.Configure(sim.now, doc))
}

// killDaemon stops a daemon; it restarts with a new incarnation.
func (sim *simulation) killDaemon() {
	i := sim.random.IntN(len(sim.daemons))
	gone := sim.daemons[i]
	sim.daemons[i].Incarnation++
	for _, c := range sim.calls {
		if c.want.From == gone {
			c.dropped = true
			c.orphan = true
		}
	}
	sim.after(sim.between(0, 500*ms), func() { sim.reportGone(gone) })
}

// reportGone reports to the ledger that a process is gone.
func (sim *simulation) reportGone(gone id.Process) {
	sim.deliver(sim.ledger.ProcessGone(sim.now, gone))
	for _, c := range sim.calls {
		if c.want.From == gone {
			c.orphan = false
		}
	}
}

// changeOwner starts a new ledger and sends it the granted and the queued
// requests.
func (sim *simulation) changeOwner() {
	o := sim.options
	o.Self.Incarnation = sim.ledger.options.Self.Incarnation + 1
	sim.ledger = NewLedger(o).(*Ledger)
	sim.deliver(sim.ledger.Configure(sim.now, sim.doc))
	for _, r := range sortedCalls(sim.calls) {
		c := sim.calls[r]
		switch {
		case c.dropped:
		case c.grant != nil:
			sim.deliver(sim.ledger.Adopt(sim.now, Adopt{Want: c.want, Grant: *c.grant, Phase: c.phase}))
		default:
			sim.deliver(sim.ledger.Want(sim.now, c.want))
		}
	}
}

// endFaults ends the faults with a valid configuration.
func (sim *simulation) endFaults() {
	sim.deliver(sim.ledger.Configure(sim.now, testDocument(22, 5)))
}

// assertEnd asserts that no request is left in the ledger.
func (sim *simulation) assertEnd() {
	is := is.New(sim.t)
	s := sim.ledger.Snapshot()
	is.Equal(s.Queued, 0)  // no request is queued
	is.Equal(s.Running, 0) // every reservation was released or expired
	is.Equal(s.Held, 0)    // no slot is held
	is.Equal(len(s.Teams), 0)
	for r, c := range sim.calls {
		if !c.answered && !c.dropped {
			sim.t.Errorf("request %s was never answered", r)
		}
	}
}

// sortedCalls returns the request ids in order.
func sortedCalls(calls map[id.Request]*call) []id.Request {
	list := make([]id.Request, 0, len(calls))
	for r := range calls {
		list = append(list, r)
	}
	slices.Sort(list)
	return list
}
