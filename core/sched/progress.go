package sched

import "time"

// Progress implements Scheduler.
func (l *Ledger) Progress(now time.Duration, p Progress) []Action {
	l.begin(now)
	r := l.find(&p)
	if r == nil {
		return l.finish(nil)
	}
	r.begun = true
	r.promptTokens = max(r.promptTokens, p.PromptTokens)
	r.outputTokens = max(r.outputTokens, p.OutputTokens)
	switch p.Phase {
	case PhasePrefilling:
		l.prefilling(r)
	case PhaseTransferring:
		l.prefilled(r, &p)
	case PhaseDecoding:
		l.prefilled(r, &p)
		l.decoding(r, &p)
	case PhaseDone:
		l.prefilled(r, &p)
		l.done(r, &p)
	case PhaseFailed:
		l.failed(r, &p)
	case PhaseCancelled:
		l.release(r)
	}
	return l.finish(nil)
}

// find returns the reservation of a Progress. An expired reservation that still
// makes progress is restored, since the engine's state takes precedence.
func (l *Ledger) find(p *Progress) *reservation {
	r := l.granted[p.Request]
	if r != nil {
		if r.grant.Reservation != p.Reservation {
			return nil
		}
		return r
	}
	known, ok := l.ended.Peek(p.Request)
	if !ok || known.expired == nil || p.Phase >= PhaseDone {
		return nil
	}
	if known.expired.grant.Reservation != p.Reservation || l.waiting[p.Request] != nil {
		return nil
	}
	l.ended.Remove(p.Request)
	r = known.expired
	l.revive(r)
	return r
}

// revive adds an expired reservation to the ledger again.
func (l *Ledger) revive(r *reservation) {
	r.grantedAt = l.now
	r.slotSince = 0
	r.charge = cost{}
	r.begun = true
	r.phase = PhasePrefilling
	r.start = l.now
	r.prefillEnd = l.now + r.prefillTime
	r.expires = r.prefillEnd + l.options.ExpiresIn
	l.hold(r)
}

// prefilling records that the prefill, or the plain call, was sent.
func (l *Ledger) prefilling(r *reservation) {
	if r.phase >= PhasePrefilling {
		return
	}
	r.phase = PhasePrefilling
	r.start = l.now
	l.renew(r, l.now+2*r.prefillTime+r.queueWait(l.now)+l.options.ExpiresIn)
	if r.prefill != nil {
		l.updateEndpoint(r.prefill, func(e *endpoint) { e.predictQueue(l.now) })
	}
}

// queueWait returns how long the prefill may wait for others on its engine.
func (r *reservation) queueWait(now time.Duration) time.Duration {
	if r.prefill == nil {
		return 0
	}
	return max(0, r.prefill.busyUntil-now)
}

// prefilled records that the prefill has ended and the transfer has begun.
func (l *Ledger) prefilled(r *reservation, p *Progress) {
	if r.phase >= PhaseTransferring {
		return
	}
	r.phase = PhaseTransferring
	r.start = min(r.start, l.now)
	l.removePrefill(r)
	l.learnPrefill(r, p)
	r.prefillEnd = l.now
	if r.link != nil {
		r.link.restart(l.now, r.number, r.kvBytes, l.options.KVLife)
	}
	l.renew(r, l.now+l.options.KVLife+l.options.ExpiresIn)
	l.predictAgain(r, l.now+r.transferTime)
}

// learnPrefill updates the rate estimates, the KV cache size and the cache view
// of the engine.
func (l *Ledger) learnPrefill(r *reservation, p *Progress) {
	if r.prefill == nil {
		return
	}
	if r.promptTokens == 0 {
		r.promptTokens = r.want.PromptTokens
	}
	if p.PrefillTime > 0 {
		r.prefillTime = p.PrefillTime
		read := float64(max(1, r.promptTokens-p.CachedTokens))
		rate := read / p.PrefillTime.Seconds()
		r.prefill.prefillRate.add(l.now, rate)
		l.pool.learnRate(l.now, rate)
	}
	if p.KVBytes > 0 {
		r.kvBytes = float64(p.KVBytes)
		r.service.estimate.kvPerToken.add(l.now, r.kvBytes/float64(r.promptTokens))
	}
	l.storePrefix(r)
}

// storePrefix records that the engine has cached the prompt's blocks.
func (l *Ledger) storePrefix(r *reservation) {
	prefix := r.want.Prefix
	if len(prefix) == 0 || !r.prefill.inPool {
		return
	}
	l.caches.add(prefix[0], r.prefill)
	for i := len(prefix) - 1; i >= 0; i-- {
		r.prefill.cache.store(l.now, prefix[i])
	}
}

// decoding records the first token or the progress of the answer.
func (l *Ledger) decoding(r *reservation, p *Progress) {
	l.correctDecode(r, p.Endpoint)
	if r.phase < PhaseDecoding {
		l.endFirstTokenWait(r)
		r.phase = PhaseDecoding
		r.decodingFrom = l.now
		r.recordOutcome(r.deadline > 0 && l.now > r.deadline)
		l.removeTransfer(r)
		if p.TransferTime > 0 {
			l.pool.transfer.add(l.now, p.TransferTime.Seconds())
		}
	}
	l.renew(r, l.now+r.service.timeout+l.options.ExpiresIn)
	l.predictAgain(r, l.now)
}

// predictAgain updates the predicted release of the slot.
func (l *Ledger) predictAgain(r *reservation, decodeStart time.Duration) {
	l.updateEndpoint(r.decode, func(e *endpoint) {
		r.predictRelease(decodeStart)
		e.sortHeld()
	})
}

// done updates the estimates from a complete answer and releases the reservation.
func (l *Ledger) done(r *reservation, p *Progress) {
	estimate := r.service.estimate
	if r.service.plain {
		estimate.callSeconds.add(l.now, (l.now - r.start).Seconds())
		l.release(r)
		return
	}
	if p.OutputTokens > 0 {
		estimate.outputRatio.add(l.now, float64(p.OutputTokens)/float64(r.want.OutputTokens))
	}
	if p.OutputTokens > 1 && r.phase == PhaseDecoding {
		token := (l.now - r.decodingFrom).Seconds() / float64(p.OutputTokens-1)
		r.decode.tokenTime.add(l.now, token)
		l.pool.learnToken(l.now, token)
	}
	l.release(r)
}

// failed releases the reservation and marks the endpoint as leaving or full if it
// refused for that reason.
func (l *Ledger) failed(r *reservation, p *Progress) {
	e := l.endpoints[p.Endpoint]
	l.release(r)
	if e == nil {
		return
	}
	if p.Leaving {
		l.updateEndpoint(e, func(e *endpoint) {
			e.refusedLeaving = true
			e.refusedAt = l.now
		})
	}
	if p.Full {
		r.recordOutcome(true)
		l.updateEndpoint(e, func(e *endpoint) { e.fullUntil = l.now + l.options.FullHold })
		l.fullEndpoints = append(l.fullEndpoints, e)
	}
}
