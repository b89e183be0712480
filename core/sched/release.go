package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// release ends a reservation: its place in the prefill queue, its slot and its
// part of the link are free, and its team pays for what it really took.
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

// leavePrefill takes the reservation off its engine's queue.
func (l *Ledger) removePrefill(r *reservation) {
	if r.prefill == nil || !slices.Contains(r.prefill.queue, r) {
		return
	}
	l.fleet.prefillSeconds -= r.prefillTime.Seconds()
	l.updateEndpoint(r.prefill, func(e *endpoint) { e.drop(r, l.now, l.options.ReportLag) })
}

// leaveLink takes the reservation's transfer off its link.
func (l *Ledger) removeTransfer(r *reservation) {
	if r.link == nil {
		return
	}
	r.link.remove(l.now, r.number)
	r.link = nil
}

// pay corrects the team's charge from the estimate to what was taken.
func (l *Ledger) correctCharge(r *reservation) {
	took := r.usage(l.now)
	l.queue.correct(r.team, l.poolSeconds(took)-l.poolSeconds(r.charge))
}

// taken is the engine time that the reservation has taken by now. The slot
// counts from when it was got, since nobody else could have it from then on.
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

// expire ends the reservations that nobody uses.
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

// recheckFull takes endpoints back that refused for lack of room a while ago.
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

// grantedInOrder lists the reservations in the order of their numbers.
func (l *Ledger) grantedInOrder() []*reservation {
	list := make([]*reservation, 0, len(l.granted))
	for _, r := range l.granted {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *reservation) int { return cmp.Compare(a.number, b.number) })
	return list
}

// waitingInOrder lists the queued requests in the order of their arrival.
func (l *Ledger) waitingInOrder() []*waiting {
	list := make([]*waiting, 0, len(l.waiting))
	for _, w := range l.waiting {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *waiting) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
