package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

// sameDomainBonus is added to the score of a decode engine in the prefill
// engine's failure domain, as a share of an engine's memory: the transfer of
// the KV cache takes half as long within a domain.
const sameDomainBonus = 0.15

// otherSoftwareMalus is taken off the score of a decode engine whose software version is not
// that of the prefill engine, as a share of an engine's memory: what two versions write may
// not fit together, a KV cache neither.
const otherSoftwareMalus = 0.5

// otherSoftwareDelay is how much sooner a prefill engine of another software version than
// the decode engine's must finish to be preferred.
const otherSoftwareDelay = 100 * time.Millisecond

// candidate is a decode engine that a request fits on, with the share of its memory that stays
// free.
type candidate struct {
	engine *endpoint
	free   float64
}

// chooseDecode returns the engine with the most free memory that the request
// fits on; otherwise nil and the cause.
func (l *Ledger) chooseDecode(w *waiting) (*endpoint, string) {
	l.scan.candidates = l.scan.candidates[:0]
	cause := causeNoEngine
	for _, e := range l.order {
		if !e.decodesHere() || !l.usable(e, w) {
			continue
		}
		free, ok := l.fits(e, w)
		if !ok {
			cause = causeNoMemory
			continue
		}
		l.scan.candidates = append(l.scan.candidates, candidate{engine: e, free: free})
	}
	return l.best(nil), cause
}

// best returns the best of the candidates of the last chooseDecode, preferring one in the
// failure domain of the prefill engine and of its software version if that engine is known.
func (l *Ledger) best(prefill *endpoint) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, c := range l.scan.candidates {
		score := c.free - lossyMalus*l.doubt(c.engine)
		if prefill != nil && prefill.domain == c.engine.domain {
			score += sameDomainBonus
		}
		if prefill != nil && prefill.software != c.engine.software {
			score -= otherSoftwareMalus
		}
		if best == nil || score > bestScore {
			best, bestScore = c.engine, score
		}
	}
	return best
}

// choosePrefill returns the prefill engine that would finish first, among those
// free within the horizon, preferring the decode engine's failure domain.
func (l *Ledger) choosePrefill(w *waiting, decode *endpoint) *endpoint {
	var best *endpoint
	var bestAt time.Duration
	for _, e := range l.order {
		if e.role != live.RolePrefill || !l.usable(e, w) || len(e.prefills) >= max(1, e.slots) {
			continue
		}
		start := e.startAt(l.now)
		if start > l.now+l.options.Horizon {
			continue
		}
		at := start + e.prefillTime(w.want.PromptTokens)
		at += time.Duration(l.doubt(e) * float64(lostPrefillCost))
		if e.domain == decode.domain {
			at -= sameDomainLead
		}
		if e.software != decode.software {
			at += otherSoftwareDelay
		}
		if best == nil || at < bestAt {
			best, bestAt = e, at
		}
	}
	return best
}

const (
	// lossyMalus is taken off the score of a decode engine that certainly loses more work
	// than its peers, as a share of an engine's memory: at a fifth of that doubt it is chosen
	// only if no other engine has room.
	lossyMalus = 5.0
	// lostPrefillCost is what a prefill that is certainly lost costs its request: the time
	// until it is given up and read elsewhere.
	lostPrefillCost = time.Second
)

// doubt returns by how much more often than its peers an engine has lost work of late; 0
// unless lossy engines are to be avoided.
func (l *Ledger) doubt(e *endpoint) float64 {
	if !l.options.AvoidLossy || l.options.Health == nil {
		return 0
	}
	return l.options.Health.Doubt(l.now, e.name)
}

// sameDomainLead is how much later a prefill engine in the decode engine's
// failure domain may finish and still be preferred.
const sameDomainLead = 5 * time.Millisecond

// usable reports whether an endpoint may serve this request at all.
func (l *Ledger) usable(e *endpoint, w *waiting) bool {
	if e.setAside || !e.available(l.now) || slices.Contains(w.want.Avoid, e.name) || !e.mayContinue(w.want.Software) {
		return false
	}
	return l.options.Health == nil || l.options.Health.Allowed(e.name)
}
