package kvsched

import "slices"

// Mechanism names a part of the policy that can be disabled to measure its
// effect. In production all are enabled.
type Mechanism string

// The mechanisms.
const (
	// LearnedLead estimates the time from a grant to the first token from the
	// first tokens of earlier requests.
	LearnedLead Mechanism = "learned-lead"
	// ArrivalRefusal refuses a request on arrival if it is predicted to miss
	// its target.
	ArrivalRefusal Mechanism = "arrival-refusal"
	// PrefilledWait lets a request whose prompt is already prefilled wait for
	// another decode engine.
	PrefilledWait Mechanism = "prefilled-wait"
	// WholeReading lets decode engines prefill prompts locally when prefill
	// capacity is short.
	WholeReading Mechanism = "whole-reading"
	// PauseBound limits a local prefill to the pause between tokens that the
	// callers of the engine's other requests accept.
	PauseBound Mechanism = "pause-bound"
	// KeptEngine sets an engine aside for a request that fits on none yet.
	KeptEngine Mechanism = "kept-engine"
	// GuessShrink shrinks the guessed length of an answer towards the mean.
	GuessShrink Mechanism = "guess-shrink"
	// TeamShares orders requests of one priority by their teams' shares.
	TeamShares Mechanism = "team-shares"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{LearnedLead, ArrivalRefusal, PrefilledWait, WholeReading, PauseBound, KeptEngine, GuessShrink, TeamShares}
}

// enabled reports whether a mechanism is enabled.
func (l *Ledger) enabled(m Mechanism) bool { return !slices.Contains(l.options.Disabled, m) }
