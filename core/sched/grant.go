package sched

import (
	"container/heap"
	"fmt"
	"time"
)

// expiryGrace extends a grant's lifetime by the time of its round trip to the
// daemon.
const expiryGrace = 100 * time.Millisecond

// grant reserves the pair for a queued request and charges its team.
func (l *Ledger) grant(w *waiting, p *pair, reason string) *Action {
	l.checkGrant(w, p)
	l.pressure.granted(l.now)
	r := l.newReservation(w, p)
	r.grant = Grant{
		Request:     w.want.Request,
		Decode:      p.decode.name,
		Reservation: r.number,
		Owner:       l.options.Self,
		StartIn:     r.start - l.now,
		ExpiresIn:   r.start - l.now + l.options.ExpiresIn,
		Reason:      reason,
	}
	if r.prefill != nil {
		r.grant.Prefill = r.prefill.name
	}
	l.queue.serve(w, l.poolSeconds(r.charge))
	delete(l.waiting, w.want.Request)
	l.hold(r)
	if r.speculative {
		r.grant.Provisional = true
		r.grant.BindWithin = seconds(maxSlotWaitShare * l.options.KVLife.Seconds())
	}
	grant := r.grant
	return &Action{To: w.want.From, Grant: &grant}
}

// newReservation returns a reservation with the predictions for the pair.
func (l *Ledger) newReservation(w *waiting, p *pair) *reservation {
	l.serial++
	r := &reservation{
		number:       l.serial,
		want:         w.want,
		service:      w.service,
		team:         w.team,
		prefill:      p.prefill.endpoint,
		decode:       p.decode,
		link:         p.link,
		grantedAt:    l.now,
		deadline:     w.arrived + w.service.patience,
		start:        p.prefill.start + p.delay,
		prefillTime:  p.prefill.took,
		prefillEnd:   p.prefillEnd(),
		transferTime: p.transfer,
		cachedTokens: p.prefill.cachedTokens,
		kvBytes:      l.cycle.kvBytes,
	}
	r.predictRelease(r.prefillEnd + r.transferTime)
	r.charge = cost{slot: (r.release - l.now).Seconds()}
	if r.prefill != nil {
		r.charge.prefill = r.prefillTime.Seconds()
	}
	r.expires = r.start + l.options.ExpiresIn + expiryGrace
	return r
}

// predictRelease predicts the slot's release, given the start of the decode.
func (r *reservation) predictRelease(decodeStart time.Duration) {
	estimate := r.service.estimate
	if r.service.plain {
		r.release = decodeStart + seconds(estimate.callSeconds.mean)
		r.deviation = seconds(estimate.callSeconds.deviation)
		return
	}
	token := r.decode.tokenTime.mean
	left := max(1, estimate.outputTokens(&r.want)-float64(r.outputTokens))
	r.release = decodeStart + seconds(left*token)
	r.deviation = seconds(estimate.outputDeviation(&r.want) * token)
}

// hold adds a reservation to the ledger, to its endpoints and to its link.
func (l *Ledger) hold(r *reservation) {
	l.granted[r.want.Request] = r
	r.team.granted++
	if r.awaitsFirstToken() {
		l.awaitingFirstToken++
	}
	heap.Push(&l.expiry, r)
	l.holdPrefill(r)
	l.holdSlot(r)
	if r.link != nil && r.phase < PhaseDecoding {
		l.addTransfer(r)
	}
}

// holdPrefill adds the reservation to the queue of its prefill endpoint.
func (l *Ledger) holdPrefill(r *reservation) {
	if r.prefill == nil || r.phase >= PhaseTransferring {
		return
	}
	l.updateEndpoint(r.prefill, func(e *endpoint) {
		e.queue = append(e.queue, r)
		l.fleet.prefillSeconds += r.prefillTime.Seconds()
		e.busyUntil = max(e.busyUntil, r.prefillEnd)
		if r.want.Suspect {
			e.suspect = r
		}
	})
}

// holdSlot assigns a slot to the reservation or queues it for the next predicted
// release.
func (l *Ledger) holdSlot(r *reservation) {
	l.updateEndpoint(r.decode, func(e *endpoint) {
		if e.free(l.now) > 0 || r.holdsSlot() {
			e.held = append(e.held, r)
			e.sortHeld()
			e.promoted = append(e.promoted, r)
		} else {
			e.pending = append(e.pending, r)
			r.speculative = true
			l.awaitingSlot = append(l.awaitingSlot, r)
		}
		if r.want.Suspect {
			e.suspect = r
		}
	})
}

// holdsSlot is true for an adopted reservation that already has its slot.
func (r *reservation) holdsSlot() bool {
	if r.grant.Provisional {
		return r.phase >= PhaseDecoding
	}
	return r.phase != 0
}

// addTransfer adds the transfer of the KV cache to the link.
func (l *Ledger) addTransfer(r *reservation) {
	r.link.add(l.now, transfer{
		owner:     r.number,
		start:     r.prefillEnd,
		remaining: r.kvBytes,
		deadline:  r.prefillEnd + l.options.KVLife,
	})
}

// updateEndpoint changes an endpoint and updates the fleet's index.
func (l *Ledger) updateEndpoint(e *endpoint, alter func(e *endpoint)) {
	l.fleet.remove(e)
	alter(e)
	l.reindex(e)
}

// poolSeconds converts a cost to a share of the pool's capacity, in seconds of
// the whole pool.
func (l *Ledger) poolSeconds(c cost) float64 {
	engines := max(1, float64(l.fleet.engines()))
	slots := 0
	for _, x := range l.fleet.slots {
		slots += x
	}
	return max(minCharge, c.prefill/engines+c.slot/max(1, float64(slots)))
}

// minCharge is the lowest charge for a request, in seconds of the whole pool.
const minCharge = 1e-7

// String identifies the reservation in the details of violations.
func (r *reservation) String() string {
	return fmt.Sprintf("reservation %d of request %s", r.number, r.want.Request)
}
