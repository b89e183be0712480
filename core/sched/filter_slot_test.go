package sched

import (
	"testing"

	"github.com/matryer/is"
)

func TestSlotFilterWeighsWasteAgainstGoodput(t *testing.T) {
	// The prefill ends at 100 ms. The slot's release is predicted with a deviation
	// of 10 ms: a weight of 0.5 requires a margin of 10 ms, 0.8 of 16 ms.
	cases := []struct {
		name     string
		release  int
		weight   float64
		mode     Reservation
		keep     bool
		delayed  bool
		settling bool
	}{
		{name: "no weight relies on the prediction", release: 90, weight: 0, keep: true},
		{name: "some weight adds a margin and starts later", release: 95, weight: 0.5, keep: true, delayed: true},
		{name: "a long margin keeps the request queued", release: 105, weight: 0.8, keep: false},
		{name: "full weight needs a free slot", release: 0, weight: 1, keep: false},
		{name: "a late release keeps the request queued", release: 200, weight: 0, keep: false},
		{name: "early reservation needs a free slot", release: 50, weight: 0, mode: Early, keep: false},
		{name: "a new owner needs a free slot", release: 50, weight: 0, settling: true, keep: false},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := testCycle()
			c.service.wasteWeight = tt.weight
			c.service.estimate.risk = newRisk(c.options, tt.weight)
			c.options.Reservation = tt.mode
			c.settling = tt.settling
			p := testPair(c)
			holdUntil(p.decode, c.now+timeMS(tt.release))
			is.True(slotFilter{}.keepPair(c, p)) // one of two slots is free
			holdUntil(p.decode, c.now+timeMS(tt.release))
			is.Equal(slotFilter{}.keepPair(c, p), tt.keep)
			is.Equal(p.delay > 0 && tt.keep, tt.delayed)
		})
	}
}

func TestSlotFilterGivesEachReleaseToOneRequest(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	c.service.wasteWeight = 0
	p := testPair(c)
	holdUntil(p.decode, c.now+50*ms)
	holdUntil(p.decode, c.now+300*ms)
	is.True(slotFilter{}.keepPair(c, p))
	p.decode.pending = append(p.decode.pending, &reservation{})
	is.True(!slotFilter{}.keepPair(c, p)) // the first release is taken; the next one is too late
	p.decode.pending = nil
	p.decode.configured = 1 // the first release only ends the excess over the slots
	is.True(!slotFilter{}.keepPair(c, p))
}
