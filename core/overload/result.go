package overload

import (
	"slices"
	"time"
)

// atOnceLimit is the time within which a refusal counts as immediate.
const atOnceLimit = 120 * time.Millisecond

// longWaitShare is the share of its target after which a refused request has waited long.
const longWaitShare = 1.0 / 8

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
	// LongRefusals counts the refusals after a wait of over an eighth of the target.
	LongRefusals int
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
	// Kinds holds the requests by their kind.
	Kinds []KindResult
}

// KindResult counts the requests of one kind.
type KindResult struct {
	Requests, InTime, Late int
	// Owed is the worth of all answers if in time, Earned that of the answers given. The
	// worth of an answer grows with its size.
	Owed, Earned float64
}

// Served is the share of the kind's requests that were answered.
func (k *KindResult) Served() float64 { return share(k.InTime+k.Late, k.Requests) }

// Worth is the share of the owed worth that was earned.
func (r *Result) Worth() float64 {
	owed, earned := 0.0, 0.0
	for _, k := range r.Kinds {
		owed += k.Owed
		earned += k.Earned
	}
	return earned / max(owed, 1e-9)
}

// fixedWorth is the share of an answer's worth that does not depend on its size.
const fixedWorth = 0.3

// add counts a request of the kind.
func (k *KindResult) add(kind Kind, o outcome, size float64) {
	factor := fixedWorth + (1-fixedWorth)*size
	k.Requests++
	k.Owed += kind.Worth * factor
	switch o {
	case inTime:
		k.InTime++
		k.Earned += kind.Worth * factor
	case late:
		k.Late++
		k.Earned += kind.LateWorth * factor
	}
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
	r.LongRefusals = w.longRefusals
	r.Kinds = make([]KindResult, max(1, len(w.Load.Kinds)))
	for _, c := range w.callers {
		second := int(c.arrived / time.Second)
		for len(r.Seconds) <= second {
			r.Seconds = append(r.Seconds, Second{})
		}
		s := &r.Seconds[second]
		s.Requests++
		size := float64(c.prompt+c.output) / (w.Load.Prompt + w.Load.Output)
		r.Kinds[c.kind].add(w.kind(c), c.outcome, size)
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
