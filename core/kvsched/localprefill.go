package kvsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// localPrefillMinFree is the share of a decode engine's memory that must
	// stay free for a local prefill.
	localPrefillMinFree = 0.25
	// localPrefillRate is the rate of a prefill on a decode engine, interleaved
	// with the tokens of its requests, in tokens a second: at best half the
	// rate of a prefill engine.
	localPrefillRate = 10000.0
	// localPrefillPauseShare is the share of the accepted pause that a local
	// prefill may take from the engine's other requests.
	localPrefillPauseShare = 0.9
)

// localPrefillTime predicts how long a prefill on a decode engine takes.
func localPrefillTime(w *waiting) time.Duration {
	return time.Duration(float64(w.want.PromptTokens) / localPrefillRate * float64(time.Second))
}

// grantLocalPrefill lets a decode engine prefill the prompt if waiting for a
// prefill engine would take the request past its target. A local prefill is
// slow and slows the engine's other requests, so an engine runs only one at a
// time, and only if it has enough free memory.
func (l *Ledger) grantLocalPrefill(w *waiting) (granted *sched.Action, passable bool) {
	if !l.enabled(WholeReading) || l.now+l.prefillWait()+l.queuePrefillTime() < w.target-localPrefillTime(w) || w.tooLate {
		return nil, false
	}
	var best *endpoint
	bestScore := localPrefillMinFree
	for _, e := range l.order {
		if e.role != live.RoleDecode || !l.usable(e, w) || !l.mayPrefillLocally(e, w) {
			continue
		}
		if score, ok := l.fits(e, w); ok && score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return nil, false
	}
	best.localPrefillUntil = l.now + localPrefillTime(w)
	return l.grant(w, nil, best), true
}

// mayPrefillLocally reports whether a decode engine may start a local prefill
// now. The prefill is interleaved with the tokens of the engine's other
// requests, and an event carries several tokens, so the whole prefill falls
// into one or two pauses of the other streams and must fit into them. In
// bursts, half of the late answers of a day were late because of such a pause
// alone.
func (l *Ledger) mayPrefillLocally(e *endpoint, w *waiting) bool {
	if l.now < e.localPrefillUntil {
		return false
	}
	pause := e.shortestPause()
	if pause == 0 || !l.enabled(PauseBound) {
		return true
	}
	fits := localPrefillTime(w) <= time.Duration(localPrefillPauseShare*float64(pause))
	return fits && l.now >= e.localPrefillUntil+pause
}

// shortestPause returns the shortest pause between events that the callers of
// an engine's requests accept; 0 if none of them has a bound.
func (e *endpoint) shortestPause() time.Duration {
	shortest := time.Duration(0)
	for _, r := range e.decodes {
		if p := r.want.Pause; p > 0 && (shortest == 0 || p < shortest) {
			shortest = p
		}
	}
	return shortest
}
