package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRiskConvergesToToleratedWaste(t *testing.T) {
	is := is.New(t)
	o := Options{}.withDefaults()
	random := rand.New(rand.NewPCG(1, 1))
	for _, weight := range []float64{0.2, 0.8} {
		k := newRisk(&o, weight)
		wasted, n := 0, 40_000
		for range n {
			// The delay of a release is exponentially distributed, in deviations.
			late := random.ExpFloat64() > k.deviations
			k.add(late)
			if late {
				wasted++
			}
		}
		fraction := float64(wasted) / float64(n)
		t.Logf("weight %.1f: wasted %.4f, tolerated %.4f", weight, fraction, k.tolerated)
		is.True(fraction < 1.1*k.tolerated)
		is.True(fraction > 0.9*k.tolerated)
	}
}

func TestRiskIsBounded(t *testing.T) {
	is := is.New(t)
	o := Options{}.withDefaults()
	k := newRisk(&o, 0.5)
	for range 1000 {
		k.add(true)
	}
	is.Equal(k.deviations, maxRisk)
	for range 100_000 {
		k.add(false)
	}
	is.Equal(k.deviations, -maxRisk)
	is.Equal(k.margin(10*ms, 800*ms), -80*ms)
	is.Equal(k.margin(time.Second, 800*ms), -600*ms) // 0.75 of the lifetime of 800 ms
}

func TestSpeculativePrefillIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	s := &service{estimate: &serviceEstimate{risk: risk{deviations: 1, tolerated: 0.1}}}
	r := &reservation{service: s, speculative: true}
	r.recordOutcome(true)
	after := s.estimate.risk.deviations
	is.True(after > 1)
	r.recordOutcome(true)
	is.Equal(s.estimate.risk.deviations, after)
}
