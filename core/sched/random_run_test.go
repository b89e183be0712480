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
			w := newSimulation(t, seed, o, testDocument(22, 5), true)
			for i := range 5 {
				w.arrivals(teamName(i), 25*ms, events, w.randomize)
			}
			w.injectFaults(events)
			w.run()
			w.assertEnd()
			is.True(w.granted > events/50) // requests were granted
			is.True(w.refused > 0)         // and overload occurred
			is.Equal(w.bound > 0, o.Reservation == JustInTime)
		})
	}
}

// randomize sets random properties of a request.
func (w *simulation) randomize(want *Want) {
	want.PromptTokens = 200 + w.random.IntN(8000)
	want.OutputTokens = 1 + w.random.IntN(60)
	want.Priority = w.random.IntN(12)
	want.Suspect = w.chance(0.01)
	block := uint64(w.random.IntN(20)) + 100
	want.Prefix = []uint64{block, block * 31, block * 37}
	if w.chance(0.03) {
		want.Avoid = []id.Endpoint{w.doc.Endpoints[w.random.IntN(len(w.doc.Endpoints))].Name}
	}
}

// injectFaults sends reports and cache events, changes the configuration, stops
// daemons and replaces the owner at random until the given number of events.
func (w *simulation) injectFaults(until int) {
	if w.events >= until {
		w.endFaults()
		return
	}
	switch n := w.random.IntN(100); {
	case n < 70:
		w.sendLoad()
	case n < 85:
		e := w.doc.Endpoints[w.random.IntN(len(w.doc.Endpoints))].Name
		event := CacheEvent{Endpoint: e, Block: uint64(w.random.IntN(20)) + 100, Stored: w.random.IntN(2) == 0}
		w.ledger.Cache(w.now, e, []CacheEvent{event}, w.chance(0.1))
	case n < 95:
		w.reconfigure()
	case n < 97:
		w.killDaemon()
	case n < 98:
		w.changeOwner()
	}
	w.after(w.between(ms, 40*ms), func() { w.injectFaults(until) })
}

// sendLoad sends an endpoint's load report from the simulation's own record.
func (w *simulation) sendLoad() {
	e := w.doc.Endpoints[w.random.IntN(len(w.doc.Endpoints))]
	load := Load{Endpoint: e.Name, Incarnation: 1, Slots: e.Slots, Reachable: !w.chance(0.05), Model: "m"}
	load.Leaving = w.chance(0.03)
	for _, c := range w.calls {
		if c.grant != nil && c.grant.Decode == e.Name && c.phase >= PhaseTransferring {
			load.Running++
		}
	}
	w.after(w.between(0, 200*ms), func() { w.deliver(w.ledger.Load(w.now, load)) })
}

// reconfigure changes a label, a slot count and a weight.
func (w *simulation) reconfigure() {
	doc := testDocument(22, 5)
	doc.Revision = w.doc.Revision + 1
	e := &doc.Endpoints[w.random.IntN(len(doc.Endpoints))]
	e.Labels[live.LabelLeaving] = "true"
	doc.Endpoints[w.random.IntN(len(doc.Endpoints))].Slots = 1 + w.random.IntN(6)
	doc.Teams[w.random.IntN(len(doc.Teams))].Weight = 1 + w.random.Float64()
	w.doc = doc
	w.deliver(w.ledger.Configure(w.now, doc))
}

// killDaemon stops a daemon; it restarts with a new incarnation.
func (w *simulation) killDaemon() {
	i := w.random.IntN(len(w.daemons))
	gone := w.daemons[i]
	w.daemons[i].Incarnation++
	for _, c := range w.calls {
		if c.want.From == gone {
			c.dropped = true
			c.orphan = true
		}
	}
	w.after(w.between(0, 500*ms), func() { w.reportGone(gone) })
}

// reportGone reports to the ledger that a process is gone.
func (w *simulation) reportGone(gone id.Process) {
	w.deliver(w.ledger.ProcessGone(w.now, gone))
	for _, c := range w.calls {
		if c.want.From == gone {
			c.orphan = false
		}
	}
}

// changeOwner starts a new ledger and sends it the granted and the queued
// requests.
func (w *simulation) changeOwner() {
	o := w.options
	o.Self.Incarnation = w.ledger.options.Self.Incarnation + 1
	w.ledger = NewLedger(o).(*Ledger)
	w.deliver(w.ledger.Configure(w.now, w.doc))
	for _, r := range sortedCalls(w.calls) {
		c := w.calls[r]
		switch {
		case c.dropped:
		case c.grant != nil:
			w.deliver(w.ledger.Adopt(w.now, Adopt{Want: c.want, Grant: *c.grant, Phase: c.phase}))
		default:
			w.deliver(w.ledger.Want(w.now, c.want))
		}
	}
}

// endFaults ends the faults with a valid configuration.
func (w *simulation) endFaults() {
	w.deliver(w.ledger.Configure(w.now, testDocument(22, 5)))
}

// assertEnd asserts that no request is left in the ledger.
func (w *simulation) assertEnd() {
	is := is.New(w.t)
	s := w.ledger.Snapshot()
	is.Equal(s.Queued, 0)  // no request is queued
	is.Equal(s.Running, 0) // every reservation was released or expired
	is.Equal(s.Held, 0)    // no slot is held
	is.Equal(len(s.Teams), 0)
	for r, c := range w.calls {
		if !c.answered && !c.dropped {
			w.t.Errorf("request %s was never answered", r)
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
