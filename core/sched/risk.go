package sched

import "time"

const (
	// riskStep scales the change of the risk by one outcome, in deviations.
	riskStep = 0.1
	// maxRisk bounds the risk in both directions, in deviations.
	maxRisk = 8.0
	// maxSlotWaitShare is the largest fraction of its lifetime for which a KV
	// cache is planned to wait for a slot.
	maxSlotWaitShare = 0.75
)

// risk sets the margin with which a service relies on a slot's predicted release.
// The outcomes of prefills adjust it so that the wasted fraction converges to the
// fraction that the service tolerates, whether engines refuse a KV cache at once
// or let it wait for a slot.
type risk struct {
	// deviations is the margin added to the prediction, in deviations. If it is
	// negative, a prefill may end before the slot is free, and its KV cache waits
	// at the prefill engine.
	deviations float64
	// tolerated is the fraction of the prefills that may be wasted.
	tolerated float64
}

// newRisk returns the initial risk for the options and a service's waste weight.
func newRisk(o *Options, wasteWeight float64) risk {
	return risk{
		deviations: o.RiskDeviations * wasteWeight,
		tolerated:  o.WasteTolerance * (1 - wasteWeight),
	}
}

// add adds the outcome of a prefill begun on a predicted slot.
func (k *risk) add(wasted bool) {
	step := -riskStep * k.tolerated
	if wasted {
		step = riskStep * (1 - k.tolerated)
	}
	k.deviations = min(max(k.deviations+step, -maxRisk), maxRisk)
}

// margin returns the margin to add to a predicted release with the given
// deviation. It may be negative.
func (k *risk) margin(deviation, kvLife time.Duration) time.Duration {
	least := -seconds(maxSlotWaitShare * kvLife.Seconds())
	return max(least, seconds(k.deviations*deviation.Seconds()))
}

// recordOutcome adds the outcome of a speculative reservation to the service's
// risk, once. The outcome is bad if the prefill was wasted or if its KV cache
// waited so long for a slot that the first token was late.
func (r *reservation) recordOutcome(bad bool) {
	if !r.speculative {
		return
	}
	r.speculative = false
	r.service.estimate.risk.add(bad)
}
