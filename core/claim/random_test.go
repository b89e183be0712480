package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestRandomFaults runs many simulations of three daemons that share a table.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 300
	}
	var total outcome
	for seed := range seeds {
		f := faults{}
		if seed%2 == 1 {
			f = faults{lostStoreReply: 0.2, staleRead: 0.4, slowStore: 0.1, storeDown: 0.1, noReply: 0.3}
		}
		if seed%4 == 3 {
			f.lostReply, f.restart = 0.1, 0.1
		}
		total.add(simulate(t, seed, f))
	}
	// All faults and all results must have occurred.
	is := is.New(t)
	is.True(total.proceeds > 1000)
	is.True(total.replays > 1000)
	is.True(total.unavailable > 100)
	is.True(total.restarts > 100)
	is.True(total.unknowns > 1000)
	is.True(total.freed > 100)
}

// TestAnyFaultRates also draws the rates of the faults at random.
func TestAnyFaultRates(t *testing.T) {
	rate := rapid.Float64Range(0, 0.5)
	rapid.Check(t, func(t *rapid.T) {
		simulate(t, rapid.Uint64().Draw(t, "seed"), faults{
			lostStoreReply: rate.Draw(t, "lost"),
			staleRead:      rate.Draw(t, "stale"),
			slowStore:      rate.Draw(t, "slow"),
			storeDown:      rate.Draw(t, "down"),
			noReply:        rate.Draw(t, "silent"),
			lostReply:      rate.Draw(t, "dropped"),
			restart:        rate.Draw(t, "death"),
		})
	})
}

type outcome struct {
	proceeds, replays, unavailable, restarts, unknowns, freed int
}

func (o *outcome) add(p outcome) {
	o.proceeds += p.proceeds
	o.replays += p.replays
	o.unavailable += p.unavailable
	o.restarts += p.restarts
	o.unknowns += p.unknowns
	o.freed += p.freed
}

const simulatedKeys = 8

func simulate(t rapid.TB, seed uint64, f faults) outcome {
	s := newSimulation(seed, f)
	for range 24 {
		s.schedule(time.Duration(s.rng.IntN(2000))*time.Millisecond, func() {
			s.call(fmt.Sprint("k", s.rng.IntN(simulatedKeys)))
		})
	}
	for range 5 {
		s.schedule(time.Duration(s.rng.IntN(2000))*time.Millisecond, func() {
			if s.chance(f.restart) {
				s.restart(s.rng.IntN(len(s.daemons)))
			}
			if s.chance(f.storeDown * 5) {
				s.storeDownUntil = s.now + time.Duration(s.rng.IntN(600))*time.Millisecond
			}
		})
	}
	s.run(6 * time.Second)
	s.faults = faults{}
	s.run(12 * time.Second)
	out := s.probe(t, seed)
	s.check(t, seed)
	return out
}

// probe calls each key once more after all faults have ended.
func (s *simulation) probe(t rapid.TB, seed uint64) outcome {
	out := outcome{restarts: s.restarts}
	for i := range simulatedKeys {
		key := fmt.Sprint("k", i)
		ran := s.runs[key]
		token := s.call(key)
		s.run(s.now + time.Second)
		at := s.attempts[token]
		if len(at.replies) != 1 {
			t.Fatalf("seed %d: %s got %d replies at the end", seed, key, len(at.replies))
		}
		if s.restarts > 0 || s.lostReplies > 0 {
			continue // the outcome may be lost with its owner
		}
		want := "proceed"
		switch {
		case ran > 0 && s.failedWith[key] == verdict.MayHaveRun:
			want = "refuse"
		case ran > 0:
			want = "replay"
		default:
			out.freed++
		}
		if at.replies[0] != want {
			t.Fatalf("seed %d: %s ran %d times and the last call got %s, want %s", seed, key, ran, at.replies[0], want)
		}
	}
	for _, d := range s.daemons {
		if n := d.claims.Pending(); n != 0 {
			t.Fatalf("seed %d: %d ops still in progress at %s", seed, n, d.process)
		}
		out.unknowns += int(d.claims.Stats().Unknowns)
	}
	return s.tally(out)
}

func (s *simulation) tally(out outcome) outcome {
	for _, token := range s.tokens {
		at := s.attempts[token]
		for _, r := range at.replies {
			switch r {
			case "proceed":
				out.proceeds++
			case "replay":
				out.replays++
			}
		}
		if at.refusedWith == verdict.NotRun {
			out.unavailable++
		}
	}
	return out
}

// check verifies that no key ran twice, that no call had two replies, and that no
// call refused as not run was dispatched.
func (s *simulation) check(t rapid.TB, seed uint64) {
	for i := range simulatedKeys {
		if key := fmt.Sprint("k", i); s.runs[key] > 1 {
			t.Fatalf("seed %d: %s ran %d times", seed, key, s.runs[key])
		}
	}
	for _, token := range s.tokens {
		at := s.attempts[token]
		if len(at.replies) > 1 {
			t.Fatalf("seed %d: %s got several replies: %v", seed, token, at.replies)
		}
		if at.refusedWith == verdict.NotRun && at.dispatches > 0 {
			t.Fatalf("seed %d: %s was refused as not run but was dispatched", seed, token)
		}
	}
	if len(s.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, s.violations)
	}
}
