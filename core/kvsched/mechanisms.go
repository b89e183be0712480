package kvsched

import "slices"

// Mechanism names a part of the policy that can be switched off, to measure
// what it is worth. In production all are on.
type Mechanism string

// The mechanisms.
const (
	// LearnedLead learns the time from a grant to the first token.
	LearnedLead Mechanism = "learned-lead"
	// ArrivalRefusal refuses at arrival what will miss its target.
	ArrivalRefusal Mechanism = "arrival-refusal"
	// PrefilledWait lets a request whose prompt was read wait for another decode
	// engine.
	PrefilledWait Mechanism = "prefilled-wait"
	// WholeReading has decode engines read prompts where prefill is short.
	WholeReading Mechanism = "whole-reading"
	// PauseBound keeps such a reading within the pause that the engine's other
	// callers accept.
	PauseBound Mechanism = "pause-bound"
	// KeptEngine keeps an engine for a request that fits on none yet.
	KeptEngine Mechanism = "kept-engine"
	// GuessShrink draws the guessed length of an answer towards the average.
	GuessShrink Mechanism = "guess-shrink"
	// TeamShares orders requests of one priority by their teams' shares.
	TeamShares Mechanism = "team-shares"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{LearnedLead, ArrivalRefusal, PrefilledWait, WholeReading, PauseBound, KeptEngine, GuessShrink, TeamShares}
}

// on says whether a mechanism is in use.
func (l *Ledger) enabled(m Mechanism) bool { return !slices.Contains(l.options.Disabled, m) }
