package sched

const (
	// riskStep is how far one outcome moves the risk, in deviations.
	riskStep = 0.1
	// maxRisk bounds it.
	maxRisk = 8.0
)

// risk is how sure a slot's predicted release must be before a service relies
// on it. It is corrected by what becomes of the prefills, so that the wasted
// part of them meets what the service tolerates, whether engines refuse a KV
// cache at once or let it wait for a slot.
type risk struct {
	// deviations are added to the prediction.
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
	k.deviations = min(max(k.deviations+step, 0), maxRisk)
}

// judgeRisk tells the service's risk, once, how a borrowed slot turned out.
func (r *reservation) judgeRisk(wasted bool) {
	if !r.borrowed {
		return
	}
	r.borrowed = false
	r.service.estimate.risk.add(wasted)
}
