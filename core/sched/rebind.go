package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// rebind assigns slots that are free now to reservations that wait for a slot of
// another endpoint, in the order of their prefills' ends and before any new
// request. A reservation moves only if its KV cache is predicted to arrive sooner
// there: a slow path to a free slot can take longer than the wait.
func (l *Ledger) rebind() {
	l.awaitingSlot = slices.DeleteFunc(l.awaitingSlot, func(r *reservation) bool { return !l.waitsForSlot(r) })
	slices.SortStableFunc(l.awaitingSlot, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(a.prefillEnd, b.prefillEnd), cmp.Compare(a.number, b.number))
	})
	for _, r := range l.awaitingSlot {
		if r.want.Suspect || l.tooLateToMove(r) {
			continue
		}
		e := l.freeElsewhere(r)
		if e == nil {
			continue
		}
		l.moveSlot(r, e)
	}
}

// waitsForSlot is true while a reservation waits for a predicted slot release.
func (l *Ledger) waitsForSlot(r *reservation) bool {
	return l.granted[r.want.Request] == r && slices.Contains(r.decode.pending, r)
}

// moveMargin is the time that a Binding may need to reach its daemon.
const moveMargin = 50 * time.Millisecond

// tooLateToMove is true if the daemon may have stopped waiting for its Binding
// and started the decode on the granted endpoint.
func (l *Ledger) tooLateToMove(r *reservation) bool {
	return l.now > r.prefillEnd+r.grant.BindWithin-moveMargin
}

// correctDecode moves a reservation to the endpoint that actually decodes its
// request. The endpoints differ if a Binding was lost or arrived too late.
func (l *Ledger) correctDecode(r *reservation, actual id.Endpoint) {
	e := l.endpoints[actual]
	if e == nil || e == r.decode {
		return
	}
	l.removeTransfer(r)
	l.updateEndpoint(r.decode, func(old *endpoint) { old.drop(r, l.now, l.options.ReportLag) })
	r.decode = e
	l.updateEndpoint(e, func(e *endpoint) {
		e.held = append(e.held, r)
		e.sortHeld()
	})
}

// freeElsewhere returns the endpoint with a free slot where the reservation's KV
// cache is predicted to arrive soonest, or nil if none is sooner than the endpoint
// for which it waits.
func (l *Ledger) freeElsewhere(r *reservation) *endpoint {
	c := l.newCycle(&waiting{want: r.want, service: r.service, team: r.team, arrived: l.now})
	var found *endpoint
	soonest := l.importEnd(r)
	l.fleet.roles[live.RoleDecode].nearest(1, func(e *endpoint) (bool, bool) {
		if e.free(l.now) <= 0 {
			return false, false
		}
		if e == r.decode || !keepAll(l.pipeline.perRequest, c, e) {
			return false, true
		}
		if end := l.importEndAt(r, e); end < soonest {
			found, soonest = e, end
		}
		return true, true
	})
	return found
}

// importEnd predicts when the KV cache arrives at the endpoint for which the
// reservation waits: after the release of its slot and the transfer.
func (l *Ledger) importEnd(r *reservation) time.Duration {
	e := r.decode
	place := slices.Index(e.pending, r) + max(0, len(e.held)+e.foreign-e.slots())
	if place < 0 || place >= len(e.held) {
		return never
	}
	begin := max(l.now, r.prefillEnd, e.held[place].release)
	if r.link == nil {
		return begin
	}
	return begin + seconds(r.kvBytes/r.link.rate)
}

// importEndAt predicts when the KV cache arrives at an endpoint with a free slot.
func (l *Ledger) importEndAt(r *reservation, e *endpoint) time.Duration {
	begin := max(l.now, r.prefillEnd)
	path := l.linkBetween(r.prefill.domain, e.domain)
	if path == nil {
		return begin
	}
	took, _ := path.fits(l.now, begin, r.kvBytes, l.options.KVLife)
	return begin + took
}

// moveSlot moves a waiting reservation to an endpoint with a free slot.
func (l *Ledger) moveSlot(r *reservation, e *endpoint) {
	l.removeTransfer(r)
	l.updateEndpoint(r.decode, func(old *endpoint) {
		old.pending = without(old.pending, r)
		old.promote()
	})
	r.decode = e
	l.updateEndpoint(e, func(e *endpoint) {
		e.held = append(e.held, r)
		e.sortHeld()
		e.promoted = append(e.promoted, r)
	})
	r.link = l.linkBetween(r.prefill.domain, e.domain)
	if r.link != nil {
		l.addTransfer(r)
	}
}
