package sched

import "time"

const (
	// riskStep is how far one outcome moves the risk, in deviations.
	riskStep = 0.1
	// maxRisk bounds it, on either side.
	maxRisk = 8.0
	// waitShare is the part of its life that a KV cache is at most planned to
	// wait for a slot.
	maxSlotWaitShare = 0.75
)

// risk is how sure a slot's predicted release must be before a service relies
// on it. It is corrected by what becomes of the prefills, so that the wasted
// part of them meets what the service tolerates, whether engines refuse a KV
// cache at once or let it wait for a slot.
type risk struct {
	// deviations are added to the prediction. Below zero a prefill may end
	// before the slot is free: its KV cache waits at the prefill engine.
	deviations float64
	// tolerated is the part of the prefills that may be wasted.
	tolerated float64
}

// newRisk starts from the options and the service's waste weight.
func newRisk(o *Options, wasteWeight float64) risk {
	return risk{
		deviations: o.RiskDeviations * wasteWeight,
		tolerated:  o.WasteTolerance * (1 - wasteWeight),
	}
}

// add takes the outcome of a prefill begun on a predicted slot.
func (k *risk) add(wasted bool) {
	step := -riskStep * k.tolerated
	if wasted {
		step = riskStep * (1 - k.tolerated)
	}
	k.deviations = min(max(k.deviations+step, -maxRisk), maxRisk)
}

// margin is added to a predicted release of some deviation before it is
// relied on.
func (k *risk) margin(deviation, kvLife time.Duration) time.Duration {
	least := -seconds(maxSlotWaitShare * kvLife.Seconds())
	return max(least, seconds(k.deviations*deviation.Seconds()))
}

// judgeRisk tells the service's risk, once, how a borrowed slot turned out: bad
// if the prefill was wasted, or if its KV cache waited for a slot for so long
// that the first token was late.
func (r *reservation) recordOutcome(bad bool) {
	if !r.speculative {
		return
	}
	r.speculative = false
	r.service.estimate.risk.add(bad)
}
