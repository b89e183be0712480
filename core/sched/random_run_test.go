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

// eventsVariable sets the number of events of a randomised run.
const eventsVariable = "SAMPHIREQUAY_SCHED_EVENTS"

// eventCount is the number of events in all seeds of a randomised run.
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

// TestRandomRun drives the ledger with faults and asserts that no invariant
// breaks, that each call is answered and that all is released in the end.
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
			is.True(w.granted > events/50) // the run got work done
			is.True(w.refused > 0)         // and met overload
			is.Equal(w.bound > 0, o.Reservation == JustInTime)
		})
	}
}

// shape varies a request.
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

// disturb brings reports, cache events, new configurations, dead daemons and
// new owners.
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

// sendLoad reports an endpoint's load by the world's record.
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

// reconfigure changes a label, a slot count or a weight.
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

// killDaemon ends a daemon; it comes back as a new process.
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

// bury tells the ledger that a process is gone.
func (w *simulation) reportGone(gone id.Process) {
	w.deliver(w.ledger.ProcessGone(w.now, gone))
	for _, c := range w.calls {
		if c.want.From == gone {
			c.orphan = false
		}
	}
}

// changeOwner starts a new ledger that hears of what is granted and waits.
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

// settleDown ends the disturbances with a sound configuration and reports.
func (w *simulation) endFaults() {
	w.deliver(w.ledger.Configure(w.now, testDocument(22, 5)))
}

// assertEnd asserts that nothing is left of any request.
func (w *simulation) assertEnd() {
	is := is.New(w.t)
	s := w.ledger.Snapshot()
	is.Equal(s.Queued, 0)  // nothing waits
	is.Equal(s.Running, 0) // every reservation was released or expired
	is.Equal(s.Held, 0)    // no slot is held
	is.Equal(len(s.Teams), 0)
	for r, c := range w.calls {
		if !c.answered && !c.dropped {
			w.t.Errorf("request %s was never answered", r)
		}
	}
}

// sortedCalls lists the requests in order.
func sortedCalls(calls map[id.Request]*call) []id.Request {
	list := make([]id.Request, 0, len(calls))
	for r := range calls {
		list = append(list, r)
	}
	slices.Sort(list)
	return list
}
