package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// prefixed returns a request with the given prefix blocks.
func prefixed(n int, blocks ...uint64) Want {
	w := testWant(n, teamName(0))
	w.Prefix = blocks
	return w
}

// serveOn serves a request to completion and returns its prefill engine.
func serveOn(t *testing.T, l *Ledger, now time.Duration, w Want) id.Endpoint {
	t.Helper()
	g := onlyGrant(t, l.Want(now, w))
	l.Progress(now+ms, progressOf(g, PhaseTransferring))
	l.Progress(now+2*ms, progressOf(g, PhaseDone))
	return g.Prefill
}

func TestCacheViewIsBoundedAndExpires(t *testing.T) {
	is := is.New(t)
	var forgotten []uint64
	c := newCacheView(2, time.Second, func(b uint64) { forgotten = append(forgotten, b) })
	c.store(0, 1)
	c.store(0, 2)
	is.Equal(c.match(0, []uint64{1, 2, 3}), 2)
	is.Equal(c.match(0, []uint64{3, 1}), 0) // the chain breaks at its first gap
	is.Equal(c.match(2*time.Second, []uint64{1}), 0)
	c.store(0, 3)
	is.Equal(forgotten, []uint64{1})
	c.clear()
	is.Equal(len(forgotten), 3)
}

func TestPrefixAffinityReusesEngine(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(16, 1))
	first := serveOn(t, l, ms, prefixed(1, 7, 8, 9))
	for n := 2; n < 12; n++ {
		is.Equal(serveOn(t, l, timeMS(10*n), prefixed(n, 7, 8, 9)), first)
	}
	is.Equal(len(l.caches.owners), 1)
}

func TestCacheViewIsInvalidated(t *testing.T) {
	forget := map[string]func(l *Ledger, e id.Endpoint){
		"gap":  func(l *Ledger, e id.Endpoint) { l.Cache(20*ms, e, nil, true) },
		"drop": func(l *Ledger, e id.Endpoint) { l.Cache(20*ms, e, []CacheEvent{{Endpoint: e, Block: 7}}, false) },
		"restart": func(l *Ledger, e id.Endpoint) {
			l.Load(20*ms, Load{Endpoint: e, Incarnation: 1, Reachable: true, Model: "m"})
			l.Load(21*ms, Load{Endpoint: e, Incarnation: 2, Reachable: true, Model: "m"})
		},
	}
	for name, f := range forget {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := testLedger(t, testOptions(t), testDocument(4, 1))
			w := prefixed(1, 7)
			e := serveOn(t, l, ms, w)
			is.Equal(l.bestCached(&w), l.options.BlockTokens)
			f(l, e)
			is.Equal(l.bestCached(&w), 0)
			is.Equal(len(l.caches.owners), 0)
		})
	}
}

func TestCacheEventsOfKnownPrefixesAreIndexed(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	e := serveOn(t, l, ms, prefixed(1, 7))
	for _, other := range l.endpoints {
		if other.name != e && other.labelRole == "prefill" {
			stored := []CacheEvent{{Endpoint: other.name, Block: 7, Stored: true}}
			l.Cache(5*ms, other.name, stored, false)
		}
	}
	is.Equal(len(l.caches.find(7)), 2)
}

func TestPopularPrefixSpreadsOverEngines(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(16, 1))
	serveOn(t, l, ms, prefixed(1, 7))
	engines := map[id.Endpoint]bool{}
	for n := 2; n < 8; n++ {
		engines[onlyGrant(t, l.Want(timeMS(10), prefixed(n, 7))).Prefill] = true
	}
	is.True(len(engines) > 3) // one short block doesn't justify a wait
}
