package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// release ends a reservation: it frees the place in the prefill queue, the slot
// and the share of the link, and charges the team for the actual usage.
func (l *Ledger) release(r *reservation) {
	l.correctCharge(r)
	delete(l.granted, r.want.Request)
	r.team.granted--
	l.endFirstTokenWait(r)
	if r.expiryIndex >= 0 {
		heap.Remove(&l.expiry, r.expiryIndex)
	}
	l.removePrefill(r)
	l.updateEndpoint(r.decode, func(e *endpoint) { e.drop(r, l.now, l.options.ReportLag) })
	l.removeTransfer(r)
	l.ended.Add(r.want.Request, outcome{})
}

// removePrefill removes the reservation from the queue of its prefill endpoint.
func (l *Ledger) removePrefill(r *reservation) {
	if r.prefill == nil || !slices.Contains(r.prefill.queue, r) {
		return
	}
	l.fleet.prefillSeconds -= r.prefillTime.Seconds()
	l.updateEndpoint(r.prefill, func(e *endpoint) { e.drop(r, l.now, l.options.ReportLag) })
}

// removeTransfer removes the reservation's transfer from its link.
func (l *Ledger) removeTransfer(r *reservation) {
	if r.link == nil {
		return
	}
	r.link.remove(l.now, r.number)
	r.link = nil
}

// correctCharge adjusts the team's charge from the estimate to the actual usage.
func (l *Ledger) correctCharge(r *reservation) {
	took := r.usage(l.now)
	l.queue.correct(r.team, l.poolSeconds(took)-l.poolSeconds(r.charge))
}

// usage returns the engine time that the reservation has used by now. The slot
// counts from its assignment, since no other request can use it from then on.
func (r *reservation) usage(now time.Duration) cost {
	took := cost{}
	if r.slotSince > 0 {
		took.slot = (now - r.slotSince).Seconds()
	}
	if r.prefill == nil || !r.begun {
		return took
	}
	if r.phase >= PhaseTransferring {
		took.prefill = r.prefillTime.Seconds()
		return took
	}
	took.prefill = max(0, now-r.start).Seconds()
	return took
}

// expire ends the reservations that have expired without a Progress.
func (l *Ledger) expire() {
	for len(l.expiry) > 0 && l.expiry[0].expires <= l.now {
		r := l.expiry[0]
		l.release(r)
		l.ended.Add(r.want.Request, outcome{expired: r})
	}
}

// renew moves a reservation's expiry.
func (l *Ledger) renew(r *reservation, expires time.Duration) {
	r.expires = expires
	heap.Fix(&l.expiry, r.expiryIndex)
}

// recheckFull indexes endpoints again whose FullHold after a refusal for lack of
// capacity is over.
func (l *Ledger) recheckFull() {
	kept := l.fullEndpoints[:0]
	for _, e := range l.fullEndpoints {
		if l.now < e.fullUntil {
			kept = append(kept, e)
			continue
		}
		l.updateEndpoint(e, func(*endpoint) {})
	}
	l.fullEndpoints = kept
}

// grantedInOrder returns the reservations in the order of their numbers.
func (l *Ledger) grantedInOrder() []*reservation {
	list := make([]*reservation, 0, len(l.granted))
	for _, r := range l.granted {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *reservation) int { return cmp.Compare(a.number, b.number) })
	return list
}

// waitingInOrder returns the queued requests in the order of their arrival.
func (l *Ledger) waitingInOrder() []*waiting {
	list := make([]*waiting, 0, len(l.waiting))
	for _, w := range l.waiting {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *waiting) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
