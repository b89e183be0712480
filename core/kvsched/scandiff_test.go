package kvsched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// ledgerPair is a ledger and its reference, which evaluates everything at each scan.
type ledgerPair struct {
	t               *testing.T
	ledger, full    *Ledger
	granted         []*sched.Grant
	grants, refused int
}

// do hands one event to both and compares what they do.
func (p *ledgerPair) do(event func(*Ledger) []sched.Action) {
	p.t.Helper()
	got, want := event(p.ledger), event(p.full)
	for _, g := range grants(got) {
		p.granted = append(p.granted, g)
		p.grants++
	}
	p.refused += len(refusals(got))
	if a, b := described(got), described(want); !slices.Equal(a, b) {
		p.t.Fatalf("the scan does %v, the full scan %v", a, b)
	}
}

// described lists actions without the reasons of refusals, which name what was tried.
func described(actions []sched.Action) []string {
	var out []string
	for _, a := range actions {
		switch {
		case a.Grant != nil:
			out = append(out, fmt.Sprint(*a.Grant))
		case a.Refusal != nil:
			out = append(out, fmt.Sprint(a.Refusal.Request, a.Refusal.Code, a.Refusal.RetryAfter))
		}
	}
	return out
}

// randomWant draws a request; some may not use all engines.
func randomWant(rng *rand.Rand, name string) sched.Want {
	w := want(name, 500+rng.IntN(7000), 50+rng.IntN(1500))
	w.Priority = rng.IntN(3)
	w.Target = time.Duration(500+rng.IntN(1500)) * time.Millisecond
	w.Team = id.Team(fmt.Sprint("team-", rng.IntN(3)))
	w.Prefilled = rng.IntN(20) == 0
	if rng.IntN(20) == 0 {
		w.Avoid = []id.Endpoint{"decode-0", "decode-1"}
	}
	return w
}

// TestScanGrantsAsAFullScan: random loads beyond what the engines hold, with engines that go
// and come back, callers that leave and answers of many lengths.
func TestScanGrantsAsAFullScan(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			on := seed%3 == 0
			scanLikeFull(t, seed, Options{Pool: "p", Self: requester, ForecastRefusal: on, UrgentReserve: on})
		})
	}
}

func scanLikeFull(t *testing.T, seed uint64, o Options) {
	t.Helper()
	is := is.New(t)
	rng := rand.New(rand.NewPCG(seed, seed))
	doc := document(3, 6, 20000)
	doc.Teams = []live.Team{{Name: "team-0", Weight: 1}, {Name: "team-1", Weight: 3}}
	p := &ledgerPair{t: t, ledger: New(o), full: New(o)}
	p.full.exhaustive = true
	p.do(func(l *Ledger) []sched.Action { return l.Configure(start-time.Second, doc) })
	for i := range 4000 {
		now := start + time.Duration(i)*3*time.Millisecond
		p.step(rng, now, i)
	}
	is.True(p.grants > 100)
	is.True(p.refused > 20)
	t.Logf("%d grants, %d refusals, engines tried %d, in full %d", p.grants, p.refused, p.ledger.tried, p.full.tried)
	is.True(p.ledger.tried < p.full.tried)
}

// step hands one random event to both ledgers.
func (p *ledgerPair) step(rng *rand.Rand, now time.Duration, i int) {
	p.t.Helper()
	end := func(phase sched.Phase) {
		if len(p.granted) == 0 {
			return
		}
		k := rng.IntN(len(p.granted))
		progress := done(p.granted[k], phase)
		if phase > sched.PhaseDecoding {
			p.granted = slices.Delete(p.granted, k, k+1)
		}
		p.do(func(l *Ledger) []sched.Action { return l.Progress(now, progress) })
	}
	switch n := rng.IntN(100); {
	case n < 12:
		w := randomWant(rng, fmt.Sprint("r-", i))
		p.do(func(l *Ledger) []sched.Action { return l.Want(now, w) })
	case n < 24:
		end(sched.PhaseDecoding)
	case n < 29:
		end(sched.PhaseDone)
	case n < 30:
		end(sched.PhaseFailed)
	case n < 31:
		name := id.Endpoint(fmt.Sprint("decode-", rng.IntN(6)))
		report := sched.Load{Endpoint: name, Reachable: rng.IntN(3) > 0}
		p.do(func(l *Ledger) []sched.Action { return l.Load(now, report) })
	case n < 32:
		name := id.Request(fmt.Sprint("r-", max(0, i-rng.IntN(300))))
		p.do(func(l *Ledger) []sched.Action { return l.Withdraw(now, name) })
	default:
		p.do(func(l *Ledger) []sched.Action { return l.Tick(now) })
	}
}

// TestScanOfBlockedQueueCostsATenth: 40 decode engines that are full, 150 requests of many sizes
// before them, an answer that ends each 13 ms and arrivals in the place of those granted. The owner evaluated
// engines 60,000 to 130,000 times a second.
func TestScanOfBlockedQueueCostsATenth(t *testing.T) {
	is := is.New(t)
	o := Options{Pool: "p", Self: requester, Disabled: []Mechanism{ArrivalRefusal}}
	p := &ledgerPair{t: t, ledger: New(o), full: New(o)}
	p.full.exhaustive = true
	rng := rand.New(rand.NewPCG(1, 1))
	p.do(func(l *Ledger) []sched.Action { return l.Configure(start-time.Second, document(20, 40, 29292)) })
	p.do(func(l *Ledger) []sched.Action { return l.Tick(start - time.Millisecond) })
	arrive := func(now time.Duration, i int) {
		w := want(fmt.Sprint("r-", i), 1000+rng.IntN(4400), 200+rng.IntN(1200))
		w.Target, w.Patience = 10*time.Second, 12*time.Second
		p.do(func(l *Ledger) []sched.Action { return l.Want(now, w) })
	}
	decoding := func(now time.Duration, from int) {
		for _, g := range p.granted[from:] {
			p.do(func(l *Ledger) []sched.Action { return l.Progress(now, done(g, sched.PhaseDecoding)) })
		}
	}
	now, sent := start, 0
	for ; len(p.ledger.queue) < 150; sent++ {
		before := len(p.granted)
		arrive(now, sent)
		decoding(now, before)
		now += 4 * time.Millisecond
	}
	triedBefore, fullBefore := p.ledger.tried, p.full.tried
	for i := range 400 {
		now += queuePollInterval
		before := len(p.granted)
		p.do(func(l *Ledger) []sched.Action { return l.Tick(now) })
		decoding(now, before)
		if i%13 < 5 {
			oldest := p.granted[0]
			p.granted = p.granted[1:]
			p.do(func(l *Ledger) []sched.Action { return l.Progress(now, done(oldest, sched.PhaseDone)) })
		}
		for missing := 150 - len(p.ledger.queue); missing > 0; missing-- {
			arrive(now, sent)
			sent++
		}
	}
	tried, full := p.ledger.tried-triedBefore, p.full.tried-fullBefore
	t.Logf("%d waiting at the end, engines tried %d in 2 s, in full %d", len(p.ledger.queue), tried, full)
	is.True(len(p.ledger.queue) >= 100)
	is.True(tried*10 <= full)
}
