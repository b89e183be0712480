package sched

import "time"

// Adopt implements Scheduler. A grant in use overrides any decision of this
// owner about the same request.
func (l *Ledger) Adopt(now time.Duration, a Adopt) []Action {
	l.begin(now)
	if a.Phase >= PhaseDone || a.Grant.Request != a.Want.Request {
		return l.finish(nil)
	}
	if w := l.waiting[a.Want.Request]; w != nil {
		l.unqueue(w)
	}
	if r := l.granted[a.Want.Request]; r != nil {
		if r.grant.Reservation == a.Grant.Reservation && r.grant.Owner == a.Grant.Owner {
			return l.finish(nil)
		}
		l.release(r)
	}
	if r := l.adopted(&a); r != nil {
		l.ended.Remove(a.Want.Request)
		l.hold(r)
	}
	return l.finish(nil)
}

// adopted rebuilds the reservation of a former owner's grant; it returns nil if
// the service, the team or an endpoint is unknown. A request that is decoding
// needs its decode endpoint only: a caller that reconnects through another
// daemon provides no other.
func (l *Ledger) adopted(a *Adopt) *reservation {
	s := l.services[a.Want.Service]
	t := l.teams[a.Want.Team]
	decode := l.endpoints[a.Grant.Decode]
	prefill := l.endpoints[a.Grant.Prefill]
	if s == nil || t == nil || decode == nil {
		return nil
	}
	if prefill == nil && !s.plain && a.Phase < PhaseDecoding {
		return nil
	}
	l.serial++
	w := a.Want
	w.PromptTokens = max(1, w.PromptTokens)
	w.OutputTokens = max(1, w.OutputTokens)
	r := &reservation{
		number:    l.serial,
		want:      w,
		grant:     a.Grant,
		service:   s,
		team:      t,
		prefill:   prefill,
		decode:    decode,
		phase:     a.Phase,
		begun:     a.Phase >= PhasePrefilling,
		grantedAt: l.now,
		start:     l.now,
		kvBytes:   s.estimate.kvBytes(&w),
	}
	l.predictAdopted(r)
	if decode.foreign > 0 {
		l.updateEndpoint(decode, func(e *endpoint) { e.foreign-- })
	}
	return r
}

// predictAdopted predicts the remaining phases of an adopted reservation.
func (l *Ledger) predictAdopted(r *reservation) {
	r.prefillEnd = l.now
	if r.prefill != nil && r.phase < PhaseTransferring {
		r.prefillTime = seconds(float64(r.want.PromptTokens) / r.prefill.prefillRate.mean)
		r.prefillEnd = max(l.now, r.prefill.busyUntil) + r.prefillTime
	}
	if r.awaitsFirstToken() {
		r.link = l.linkBetween(r.prefill.domain, r.decode.domain)
	}
	if r.phase == PhaseDecoding {
		r.decodingFrom = l.now
	}
	r.predictRelease(r.prefillEnd)
	r.expires = l.adoptedExpiry(r)
	r.charge = cost{}
}

// adoptedExpiry returns the time at which an adopted reservation expires unless
// a Progress arrives.
func (l *Ledger) adoptedExpiry(r *reservation) time.Duration {
	if r.phase >= PhaseDecoding {
		return l.now + r.service.timeout + l.options.ExpiresIn
	}
	return r.prefillEnd + l.options.KVLife + l.options.ExpiresIn
}
