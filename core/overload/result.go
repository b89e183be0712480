package overload

import (
	"slices"
	"time"
)

// atOnceLimit is the time within which a refusal counts as immediate.
const atOnceLimit = 120 * time.Millisecond

// outcome is the outcome of a caller's request.
type outcome int

const (
	unserved outcome = iota
	inTime
	late
	refused
	abandoned
	lost
)

// Result summarizes a replay.
type Result struct {
	Requests, InTime, Late, Refused, Left int
	// Retried counts the callers that retried, RefusedAgain those that were
	// refused more than once.
	Retried, RefusedAgain int
	// Refusals counts all refusals, ImmediateRefusals those within 120 ms.
	Refusals, ImmediateRefusals int
	// RefusedPermanently counts the callers that were refused with a code that
	// rules out a retry.
	RefusedPermanently int
	// WastedTokens counts the prompt tokens of granted requests that were not
	// served, and the tokens prefilled again after preemptions.
	WastedTokens int
	// Preempted counts the preemptions of requests for lack of memory.
	Preempted int
	// LostAt are the times at which engines lost answers, from the start of the load.
	LostAt []time.Duration
	// LargestShare and LargeShare are the served shares of the largest tenth of
	// requests, and of the next fifth, relative to the served share of all.
	LargestShare, LargeShare float64
	// Seconds holds the requests by the second of their arrival.
	Seconds []Second
}

// Second counts the requests that arrived in one second.
type Second struct{ Requests, InTime, Late, Refused int }

// Served is the share of requests that were answered.
func (r *Result) Served() float64 { return share(r.InTime+r.Late, r.Requests) }

// Goodput is the share of requests that were answered in time.
func (r *Result) Goodput() float64 { return share(r.InTime, r.Requests) }

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Recovery returns how long after the second with index from the share in time is
// back at 90% of its usual value for two consecutive seconds. The usual value is
// the mean over the first calm seconds.
func (r *Result) Recovery(calm int, from int) time.Duration {
	usual := 0.0
	for _, s := range r.Seconds[:min(calm, len(r.Seconds))] {
		usual += share(s.InTime, s.Requests) / float64(calm)
	}
	good := func(i int) bool {
		return i < len(r.Seconds) && share(r.Seconds[i].InTime, r.Seconds[i].Requests) >= 0.9*usual
	}
	for i := from; i < len(r.Seconds); i++ {
		if good(i) && good(i+1) {
			return time.Duration(i-from) * time.Second
		}
	}
	return time.Duration(len(r.Seconds)-from) * time.Second
}

// result sums up the outcomes of the callers.
func (w *simulation) result() *Result {
	r := &Result{Requests: len(w.callers), RefusedPermanently: w.refusedPermanently, WastedTokens: w.wastedTokens, Preempted: w.preempted, LostAt: w.lostAt}
	for _, c := range w.callers {
		second := int(c.arrived / time.Second)
		for len(r.Seconds) <= second {
			r.Seconds = append(r.Seconds, Second{})
		}
		s := &r.Seconds[second]
		s.Requests++
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
			r.ImmediateRefusals++
		}
	}
	r.LargestShare, r.LargeShare = w.largeShares()
	return r
}

// largeShares returns the served shares of the largest tenth of requests, and
// of the next fifth, relative to the served share of all.
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
