package sched

import "time"

// tries says whether a request may run against estimates that rule it out: what
// they rest on is corrected by requests that run, and by nothing else. That is
// so where no other request is on its way to a first token, which would correct
// them, and where the pool at its best could still serve it in time, given how
// long after its arrival that would be.
//
// Without it, a few seconds in which engines are slow leave means by which every
// prompt is refused, and no sample comes that would correct them.
func (l *Ledger) mayProbe(s *service, atBest time.Duration) bool {
	return !s.plain && l.awaitingFirstToken == 0 && atBest <= s.patience
}

// awaitsFirst says whether a reservation has yet to give its first token.
func (r *reservation) awaitsFirstToken() bool { return r.prefill != nil && r.phase < PhaseDecoding }

// endWait notes that a reservation does not await its first token any more.
func (l *Ledger) endFirstTokenWait(r *reservation) {
	if r.awaitsFirstToken() {
		l.awaitingFirstToken--
	}
}
