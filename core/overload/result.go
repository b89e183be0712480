package overload

import (
	"slices"
	"time"
)

// atOnce is how soon a refusal counts as one that came at once.
const atOnceLimit = 120 * time.Millisecond

// outcome is what became of a caller's request.
type outcome int

const (
	unserved outcome = iota
	inTime
	late
	refused
	abandoned
)

// Result is what a load came to.
type Result struct {
	Asked, InTime, Late, Refused, Left int
	// Returned counts the callers that came back, RefusedAgain those of them
	// that were refused once more.
	Retried, RefusedAgain int
	// Refusals counts all of them, AtOnce those that came within 120 ms.
	Refusals, AtOnce int
	// ForGood counts the callers that were told that coming back is of no use.
	RefusedPermanently int
	// VainTokens were read for requests that were not served.
	VainTokens int
	// Preempted counts the requests that lost their memory.
	Preempted int
	// LargestShare and LargeShare are how often the largest tenth, and the fifth
	// below it, were served, against all.
	LargestShare, LargeShare float64
	// Seconds holds the requests by the second of their arrival.
	Seconds []Second
}

// Second counts the requests that arrived in one second.
type Second struct{ Asked, InTime, Late, Refused int }

// Served is the share of requests that were answered.
func (r *Result) Served() float64 { return share(r.InTime+r.Late, r.Asked) }

// Goodput is the share of requests that were answered in time.
func (r *Result) Goodput() float64 { return share(r.InTime, r.Asked) }

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Recovery is how long after a moment the share in time is back to nine tenths
// of what it was in the first seconds, held for two seconds.
func (r *Result) Recovery(calm int, from int) time.Duration {
	usual := 0.0
	for _, s := range r.Seconds[:min(calm, len(r.Seconds))] {
		usual += share(s.InTime, s.Asked) / float64(calm)
	}
	good := func(i int) bool {
		return i < len(r.Seconds) && share(r.Seconds[i].InTime, r.Seconds[i].Asked) >= 0.9*usual
	}
	for i := from; i < len(r.Seconds); i++ {
		if good(i) && good(i+1) {
			return time.Duration(i-from) * time.Second
		}
	}
	return time.Duration(len(r.Seconds)-from) * time.Second
}

// result sums the callers up.
func (w *simulation) result() *Result {
	r := &Result{Asked: len(w.callers), RefusedPermanently: w.refusedPermanently, VainTokens: w.wastedTokens, Preempted: w.preempted}
	for _, c := range w.callers {
		second := int(c.arrived / time.Second)
		for len(r.Seconds) <= second {
			r.Seconds = append(r.Seconds, Second{})
		}
		s := &r.Seconds[second]
		s.Asked++
		switch c.outcome {
		case inTime:
			r.InTime++
			s.InTime++
		case late:
			r.Late++
			s.Late++
		case refused:
			r.Refused++
			s.Refused++
		default:
			r.Left++
		}
		if c.retries > 0 {
			r.Retried++
		}
		if c.refusals > 1 {
			r.RefusedAgain++
		}
	}
	for _, wait := range w.refusalWaits {
		r.Refusals++
		if wait <= atOnceLimit {
			r.AtOnce++
		}
	}
	r.LargestShare, r.LargeShare = w.largeShares()
	return r
}

// sizeShares compares how often large requests were served with all.
func (w *simulation) largeShares() (largest, large float64) {
	bySize := slices.Clone(w.callers)
	slices.SortStableFunc(bySize, func(a, b *caller) int { return b.prompt + b.output - a.prompt - a.output })
	served := func(cs []*caller) float64 {
		n := 0
		for _, c := range cs {
			if c.outcome == inTime || c.outcome == late {
				n++
			}
		}
		return share(n, len(cs))
	}
	all := served(bySize)
	if all == 0 {
		return 0, 0
	}
	tenth := len(bySize) / 10
	return served(bySize[:tenth]) / all, served(bySize[tenth:3*tenth]) / all
}
