package kvsched

import "math"

const (
	// reserveDeviations is how many standard deviations above the mean arrivals are covered.
	reserveDeviations = 1.0
	// maxReserveShare bounds the memory kept back, as a share of the pool's; it may always hold
	// one request.
	maxReserveShare = 0.05
	// scarceShare is the share of the pool's memory that is given away before room is kept
	// back.
	scarceShare = 0.75
)

// causeReserved is the cause for which a request waits for room that is kept for others.
const causeReserved = "the memory left is kept for higher priorities"

// reserveAgainst returns the room kept from a request for those of the highest urgency that
// will arrive while none becomes free, in typical requests.
func (l *Ledger) reserveAgainst(w *waiting) float64 {
	top, ok := l.arrivals.top()
	if !l.options.UrgentReserve || !ok || moreUrgentFirst(w.urgency, top) <= 0 {
		return 0
	}
	urgent := l.arrivals.rate(func(c *arrivalCount) bool { return c.urgency == top })
	expected := urgent.Now * l.lookAhead().forecast.NextRoom().Seconds()
	memory, _ := l.poolMemory()
	most := max(1, maxReserveShare*float64(memory)/max(1, l.arrivals.typicalTokens()))
	return math.Floor(min(expected+reserveDeviations*math.Sqrt(expected), most))
}

// reserved reports whether a request has to leave the room that is free to higher priorities.
func (l *Ledger) reserved(w *waiting) bool {
	if !l.options.UrgentReserve || w.want.Prefilled {
		return false
	}
	memory, given := l.poolMemory()
	if float64(given) < scarceShare*float64(memory) {
		return false
	}
	l.arrivals.decay(l.now)
	kept := l.reserveAgainst(w)
	if kept == 0 {
		return false
	}
	o := l.lookAhead()
	return float64(o.forecast.Within(l.now-o.at))-o.granted < kept+1
}

// poolMemory returns the memory of the engines that decode, and what their requests hold at
// their ends, in tokens.
func (l *Ledger) poolMemory() (memory, given int) {
	for _, e := range l.order {
		if e.decodesHere() && e.available(l.now) {
			memory += e.memory
			given += e.given
		}
	}
	return memory, given
}
