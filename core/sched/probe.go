package sched

import "time"

// mayProbe reports whether a request may run as a probe although the estimates
// rule it out, since samples of running requests are needed to correct them. A
// request may run if no other request awaits its first token, which would
// correct the estimates, and if the pool at its best could still serve it in
// time. atBest is the time from the request's arrival to its first token then.
//
// Without probes, a few seconds of slow engines can leave means by which every
// prompt is refused, so that no sample arrives to correct them.
func (l *Ledger) mayProbe(s *service, atBest time.Duration) bool {
	return !s.plain && l.awaitingFirstToken == 0 && atBest <= s.patience
}

// awaitsFirstToken reports whether a reservation with a prefill has not produced
// its first token yet.
func (r *reservation) awaitsFirstToken() bool { return r.prefill != nil && r.phase < PhaseDecoding }

// endFirstTokenWait records that a reservation no longer awaits its first token.
func (l *Ledger) endFirstTokenWait(r *reservation) {
	if r.awaitsFirstToken() {
		l.awaitingFirstToken--
	}
}
