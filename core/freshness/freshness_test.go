package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProofAgeIsNeverUnderstated(t *testing.T) {
	is := is.New(t)
	var reader, other Tracker
	reader.InForce(7)
	other.InForce(7)
	reader.Sample(1*time.Second, 1004*time.Millisecond, 101*time.Second)
	other.Sample(5*time.Second, 5010*time.Millisecond, 101*time.Second)
	reader.Confirm(2 * time.Second)
	p, ok := reader.Newest()
	is.True(ok)
	is.Equal(p.Version, uint64(7))
	is.True(p.At <= 102*time.Second && p.At >= 101900*time.Millisecond)
	other.Learn(9*time.Second, p) // it was in transit for three seconds
	since, ok := other.Since()
	is.True(ok)
	is.True(since <= 6*time.Second && since >= 5900*time.Millisecond)
	other.Learn(20*time.Second, p) // a repeat changes nothing
	again, _ := other.Since()
	is.Equal(again, since)
}

func TestNewerProofCountsOnceItsConfigurationIsInForce(t *testing.T) {
	is := is.New(t)
	var x Tracker
	x.Sample(0, 0, 100*time.Second)
	x.InForce(7)
	x.Confirm(time.Second)
	x.Learn(3*time.Second, Proof{Version: 9, At: 102 * time.Second})
	is.True(x.Outdated())
	since, _ := x.Since()
	is.Equal(since, time.Second)
	x.InForce(9)
	is.True(!x.Outdated())
	since, _ = x.Since()
	is.True(since > 1900*time.Millisecond)
}

func TestPeerProofsNeedASampleOfTheStoreClock(t *testing.T) {
	is := is.New(t)
	var x Tracker
	x.InForce(7)
	x.Learn(time.Second, Proof{Version: 7, At: time.Hour})
	_, ok := x.Since()
	is.True(!ok)
	x.Confirm(2 * time.Second) // the daemon's own call to the store is enough
	since, ok := x.Since()
	is.True(ok)
	is.Equal(since, 2*time.Second)
	_, ok = x.Newest()
	is.True(!ok)
}

func TestStoreClockReset(t *testing.T) {
	is := is.New(t)
	var c Clock
	c.Sample(0, time.Millisecond, time.Hour)
	c.Sample(time.Second, 1001*time.Millisecond, time.Second)
	at, ok := c.MinLocalTime(2*time.Second, time.Second)
	is.True(ok)
	is.True(at <= 1001*time.Millisecond && at >= 900*time.Millisecond)
}

// simulation runs a fleet and a store: the daemons' clocks run at different rates,
// and the daemons read the store, exchange proofs, freeze and are partitioned.
type simulation struct {
	rng *rand.Rand
	now time.Duration
	// accepted holds the time at which each configuration, by version, was accepted.
	accepted []time.Duration
	daemons  []*simulatedDaemon
}

type simulatedDaemon struct {
	Tracker
	clockRate        float64
	offset           time.Duration
	frozenUntil      time.Duration
	partitionedUntil time.Duration
	// inbox holds proofs that are in transit or were not handled during a freeze.
	inbox []Proof
}

// clock returns the daemon's own time at a time of the simulation.
func (d *simulatedDaemon) clock(at time.Duration) time.Duration {
	return d.offset + time.Duration(float64(at)*d.clockRate)
}

const storeOffset = 1000 * time.Second

// read makes a daemon read the store: the call takes a while, within which the
// store replies.
func (s *simulation) read(d *simulatedDaemon) {
	took := time.Duration(s.rng.Int64N(int64(80 * time.Millisecond)))
	answered := s.now + time.Duration(s.rng.Int64N(int64(took)+1))
	version := uint64(0)
	for _, at := range s.accepted {
		if at <= answered {
			version++
		}
	}
	d.InForce(version)
	d.Sample(d.clock(s.now), d.clock(s.now+took), storeOffset+answered)
	d.Confirm(d.clock(s.now))
}

func (s *simulation) step() {
	s.now += 100 * time.Millisecond
	if s.rng.IntN(40) == 0 {
		s.accepted = append(s.accepted, s.now)
	}
	for i, d := range s.daemons {
		if s.rng.IntN(200) == 0 {
			d.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(12*time.Second)))
		}
		if s.rng.IntN(100) == 0 {
			d.partitionedUntil = s.now + time.Duration(s.rng.Int64N(int64(12*time.Second)))
		}
		if s.now < d.frozenUntil {
			continue
		}
		for _, p := range d.inbox {
			d.Learn(d.clock(s.now), p)
		}
		d.inbox = d.inbox[:0]
		if i < 2 && s.now >= d.partitionedUntil {
			s.read(d)
		}
		s.gossip(d)
		if s.rng.IntN(30) == 0 && s.now >= d.partitionedUntil {
			// The tables come from another daemon, which may be outdated itself.
			from := s.daemons[s.rng.IntN(len(s.daemons))]
			d.InForce(from.version)
		}
	}
}

// gossip sends a daemon's proof to another one; a frozen daemon handles it later.
func (s *simulation) gossip(d *simulatedDaemon) {
	p, ok := d.Newest()
	if !ok || s.rng.IntN(3) > 0 {
		return
	}
	to := s.daemons[s.rng.IntN(len(s.daemons))]
	to.inbox = append(to.inbox, p)
}

// TestOutdatedConfigurationIsNeverReportedFresh: whichever daemons freeze or are
// partitioned, however late messages arrive and at whatever rates the clocks run,
// each configuration that was accepted up to the time that a daemon reports is in
// force there.
func TestOutdatedConfigurationIsNeverReportedFresh(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), accepted: []time.Duration{0}}
			for i := range 12 {
				rate := 1 + (s.rng.Float64()-0.5)*1.8e-4
				s.daemons = append(s.daemons, &simulatedDaemon{clockRate: rate, offset: time.Duration(i) * time.Hour})
				s.read(s.daemons[i]) // each reads once at its start
			}
			reports := 0
			for range 1200 {
				s.step()
				reports += checkReports(t, s)
			}
			if reports < 1000 {
				t.Fatalf("only %d reports of a fresh configuration", reports)
			}
		})
	}
}

func checkReports(t *testing.T, s *simulation) int {
	t.Helper()
	reports := 0
	for i, d := range s.daemons {
		since, ok := d.Since()
		if !ok {
			continue
		}
		reports++
		for v, at := range s.accepted {
			if d.clock(at) <= since && uint64(v+1) > d.version {
				t.Fatalf("at %v daemon %d reports that %d was the newest until %v, but %d was accepted at %v",
					s.now, i, d.version, since, v+1, d.clock(at))
			}
		}
	}
	return reports
}
