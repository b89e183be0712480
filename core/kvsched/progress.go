package kvsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// Progress implements sched.Scheduler.
func (l *Ledger) Progress(now time.Duration, p sched.Progress) []sched.Action {
	l.begin(now)
	r := l.granted[p.Request]
	if r == nil || r.grant.Reservation != p.Reservation {
		return l.finish(nil)
	}
	switch p.Phase {
	case sched.PhasePrefilling:
		r.phase = p.Phase
		r.expires = max(r.expires, r.lifetime)
	case sched.PhaseTransferring:
		l.prefillDone(r)
	case sched.PhaseDecoding:
		l.prefillDone(r)
		l.moveDecode(r, p)
		if r.decodingAt == 0 {
			r.decodingAt = l.now
			r.decode.requestsChanged()
			if !r.adopted && l.enabled(LearnedLead) {
				l.firstToken.add(r.want.PromptTokens, l.now-r.grantedAt)
			}
		}
		r.phase = p.Phase
	default:
		l.endReservation(r, p)
	}
	return l.finish(nil)
}

// prefillDone records that the prefill is complete.
func (l *Ledger) prefillDone(r *reservation) {
	if r.prefill != nil {
		r.prefill.endPrefill(l.now, r, true)
		r.prefill = nil
		l.scanDue = true
	}
	r.phase = sched.PhaseTransferring
	r.expires = max(r.expires, r.lifetime)
}

// moveDecode moves a reservation to the engine that decodes it, if that is not
// the granted one.
func (l *Ledger) moveDecode(r *reservation, p sched.Progress) {
	e := l.endpoints[p.Endpoint]
	if e == nil || e == r.decode {
		return
	}
	r.decode.removeDecode(r)
	r.decode = e
	r.grant.Decode = e.name
	e.addDecode(r)
	l.scanDue = true
}

// endReservation releases the reservation of an ended request and updates the
// estimates and the endpoint's state from the outcome.
func (l *Ledger) endReservation(r *reservation, p sched.Progress) {
	if p.Phase == sched.PhaseFailed {
		l.markRefusal(p)
	}
	if p.Phase == sched.PhaseDone {
		l.releaseRate.add(l.now, r.tokens)
		if r.decodingAt > 0 && !r.adopted {
			l.answers.add((l.now - r.decodingAt).Seconds() * l.decodeRate.perSecond() / max(1, r.output))
			l.decodeRate.add(max(1, r.want.OutputTokens), l.now-r.decodingAt)
		}
	}
	l.release(r)
	l.ended.Add(p.Request, nil)
}

// markRefusal keeps new work off an endpoint that refused a request.
func (l *Ledger) markRefusal(p sched.Progress) {
	e := l.endpoints[p.Endpoint]
	if e == nil {
		return
	}
	if p.Full {
		e.fullUntil = l.now + l.options.FullHold
	}
	if p.Leaving {
		e.leaving = true
	}
}

// Adopt implements sched.Scheduler.
func (l *Ledger) Adopt(now time.Duration, a sched.Adopt) []sched.Action {
	l.begin(now)
	if l.granted[a.Want.Request] != nil {
		return l.finish(nil)
	}
	if w := l.waiting[a.Want.Request]; w != nil {
		l.unqueue(w)
	}
	decode := l.endpoints[a.Grant.Decode]
	if decode == nil {
		return l.finish(nil)
	}
	age := max(0, a.Want.Age)
	r := &reservation{
		want:      a.Want,
		grant:     a.Grant,
		tokens:    l.finalTokens(&a.Want),
		output:    l.expectedOutput(&a.Want),
		phase:     a.Phase,
		decode:    decode,
		adopted:   true,
		grantedAt: l.now,
		lifetime:  l.now + a.Want.Lifetime - age,
	}
	r.expires = max(l.now+l.options.ExpiresIn, r.lifetime)
	if a.Phase >= sched.PhaseDecoding {
		r.decodingAt = max(1, l.now-a.InPhase)
	}
	decode.addDecode(r)
	l.addReservation(r)
	if prefill := l.endpoints[a.Grant.Prefill]; prefill != nil && a.Phase < sched.PhaseTransferring {
		r.prefill = prefill
		prefill.addPrefill(l.now, r)
	}
	return l.finish(nil)
}
