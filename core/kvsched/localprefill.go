package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
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

// Causes for which a request that must not use any prefill engine is not granted.
const (
	causeLocalPrefill = "no prefill engine can be used, and the decode engines read other prompts"
	causeNoReader     = "no prefill engine can be used, and no decode engine can read the prompt"
)

// localPrefillTime predicts how long a prefill on a decode engine takes.
func localPrefillTime(w *waiting) time.Duration {
	return time.Duration(float64(w.want.PromptTokens) / localPrefillRate * float64(time.Second))
}

// grantLocalPrefill lets a decode engine prefill the prompt if waiting for a
// prefill engine would take the request past its target, or if no prefill engine
// can be used. A local prefill is slow and slows the engine's other requests, so
// an engine runs only one at a time, and only if it has enough free memory.
func (l *Ledger) grantLocalPrefill(w *waiting) (answer *sched.Action, passable bool) {
	if l.mayGetPrefill(w) && (w.tooLate || l.now+l.prefillWait()+l.queuePrefillTime() < w.target-localPrefillTime(w)) {
		return nil, false
	}
	decode, next := l.chooseLocalPrefill(w)
	switch {
	case decode != nil:
		decode.localPrefillUntil = l.now + localPrefillTime(w)
		return l.grant(w, nil, decode), true
	case !l.avoidsAllPrefills(w):
		return nil, false
	case next < w.patience:
		w.blocked = causeLocalPrefill
		return nil, true // those behind it may have a prefill engine
	default:
		return l.refuseUnreadable(w), true
	}
}

// chooseLocalPrefill returns the decode engine that may prefill the prompt now
// and has the most free memory. Without one, next is when the first local
// prefill that is in the way ends; never if none is.
func (l *Ledger) chooseLocalPrefill(w *waiting) (best *endpoint, next time.Duration) {
	next = never
	if !l.enabled(WholeReading) {
		return nil, next
	}
	bestScore := localPrefillMinFree
	for _, e := range l.order {
		if e.role != live.RoleDecode || !l.usable(e, w) {
			continue
		}
		if !l.mayPrefillLocally(e, w) {
			next = min(next, l.localPrefillAt(e, w))
			continue
		}
		if score, ok := l.fits(e, w); ok && score > bestScore {
			best, bestScore = e, score
		}
	}
	return best, next
}

// mayPrefillLocally reports whether a decode engine may start a local prefill
// now.
func (l *Ledger) mayPrefillLocally(e *endpoint, w *waiting) bool {
	return l.now >= l.localPrefillAt(e, w)
}

// localPrefillAt returns from when on a decode engine may start a local prefill;
// never if its other requests don't allow it. The prefill is interleaved with
// the tokens of the engine's other requests, and an event carries several
// tokens, so the whole prefill falls into one or two pauses of the other streams
// and must fit into them.
func (l *Ledger) localPrefillAt(e *endpoint, w *waiting) time.Duration {
	pause := e.shortestPause()
	if pause == 0 || !l.enabled(PauseBound) {
		return e.localPrefillUntil
	}
	if localPrefillTime(w) > time.Duration(localPrefillPauseShare*float64(pause)) {
		return never
	}
	return e.localPrefillUntil + pause
}

// mayGetPrefill reports whether there is a prefill engine that may serve the
// request, now or once it has room.
func (l *Ledger) mayGetPrefill(w *waiting) bool {
	return slices.ContainsFunc(l.order, func(e *endpoint) bool {
		if e.role != live.RolePrefill || e.leaving || e.drained || e.down || slices.Contains(w.want.Avoid, e.name) {
			return false
		}
		return l.options.Health == nil || l.options.Health.Allowed(e.name)
	})
}

// avoidsAllPrefills reports whether the request must not use any of the pool's
// prefill engines, so that it gains nothing by waiting for one.
func (l *Ledger) avoidsAllPrefills(w *waiting) bool {
	avoids := false
	for _, e := range l.order {
		if e.role != live.RolePrefill {
			continue
		}
		if !slices.Contains(w.want.Avoid, e.name) {
			return false
		}
		avoids = true
	}
	return avoids
}

// refuseUnreadable refuses a waiting request whose prompt no engine can read.
func (l *Ledger) refuseUnreadable(w *waiting) *sched.Action {
	l.unqueue(w)
	after := jitter(l.readableIn(w), w.want.Request)
	return &l.refuse(w.want, verdict.CodeOverloaded, after, causeNoReader)[0]
}

// readableIn predicts how long it takes until the requests of a decode engine
// have ended, so that it can read the prompt. If none is large enough, a prefill
// engine must come back, for which the ledger can't tell the time.
func (l *Ledger) readableIn(w *waiting) time.Duration {
	first := never
	for _, e := range l.order {
		if e.role != live.RoleDecode || !l.usable(e, w) || !roomToRead(e, w) {
			continue
		}
		// The one that has most left comes first.
		if running := l.footprintsOf(e); len(running) > 0 {
			seconds := running[0].remaining / l.decodeRate.perSecond()
			first = min(first, time.Duration(seconds*float64(time.Second)))
		}
	}
	if first == never {
		return verdict.TransientRetryAfter
	}
	return min(max(first, minRetryAfter), maxRetryAfter)
}

// roomToRead reports whether an engine without other requests may read the
// prompt.
func roomToRead(e *endpoint, w *waiting) bool {
	c := w.footprint()
	return e.memory <= 0 || c.held+c.remaining < (1-localPrefillMinFree)*float64(e.memory)
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
