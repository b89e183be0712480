package kvsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// wholeRoom is the share of a decode engine's memory that must be left for
	// it to read a prompt itself.
	localPrefillMinFree = 0.25
	// wholeRate is how fast a decode engine reads a prompt between the tokens
	// of its requests, in tokens a second: half as fast as a prefill engine at
	// best.
	localPrefillRate = 10000.0
	// wholePause is the share of the pause that callers accept which a reading
	// may take from the engine's other requests.
	localPrefillPauseShare = 0.9
)

// wholeTime predicts how long a decode engine takes to read a prompt.
func localPrefillTime(w *waiting) time.Duration {
	return time.Duration(float64(w.want.PromptTokens) / localPrefillRate * float64(time.Second))
}

// grantWhole has a decode engine read the prompt itself, where waiting for a
// prefill engine would take the request past its target. That is slow, and
// slows the engine's other requests: only one prompt is read so at a time on an
// engine, and only by engines with room to spare.
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

// mayRead says whether a decode engine may read a prompt itself now. Its other
// requests get a piece of it between any two of their tokens, and an event has
// several tokens: the whole reading falls into one or two pauses of theirs, and
// must fit there. In bursts, half of the late answers of a day were late by
// such a pause alone.
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

// shortestPause is the shortest pause that the callers of an engine's requests
// accept; 0 where none of them has a bound.
func (e *endpoint) shortestPause() time.Duration {
	shortest := time.Duration(0)
	for _, r := range e.decodes {
		if p := r.want.Pause; p > 0 && (shortest == 0 || p < shortest) {
			shortest = p
		}
	}
	return shortest
}
