package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// rebind gives slots that are free now to reservations that wait for another
// endpoint's: the one whose prefill ends first goes first, and all go before
// new requests. A KV cache then waits for the first slot of the pool, not for
// that of one endpoint.
func (l *Ledger) rebind() {
	l.borrowers = slices.DeleteFunc(l.borrowers, func(r *reservation) bool { return !l.waitsForSlot(r) })
	slices.SortStableFunc(l.borrowers, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(a.prefillEnd, b.prefillEnd), cmp.Compare(a.number, b.number))
	})
	for _, r := range l.borrowers {
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

// waitsForSlot is true while a reservation relies on a predicted release.
func (l *Ledger) waitsForSlot(r *reservation) bool {
	return l.granted[r.want.Request] == r && slices.Contains(r.decode.pending, r)
}

// moveMargin is the time that a Binding may need to its daemon.
const moveMargin = 50 * time.Millisecond

// tooLateToMove is true when the daemon may have stopped waiting for its
// Binding, and so may have ordered the decode where the grant named it.
func (l *Ledger) tooLateToMove(r *reservation) bool {
	return l.now > r.prefillEnd+r.grant.BindWithin-moveMargin
}

// follow corrects the ledger where a request decodes elsewhere than thought:
// its Binding was lost or came too late.
func (l *Ledger) follow(r *reservation, actual id.Endpoint) {
	e := l.endpoints[actual]
	if e == nil || e == r.decode {
		return
	}
	l.leaveLink(r)
	l.change(r.decode, func(old *endpoint) { old.drop(r, l.now, l.options.ReportLag) })
	r.decode = e
	l.change(e, func(e *endpoint) {
		e.held = append(e.held, r)
		e.sortHeld()
	})
}

// freeElsewhere finds an endpoint with a free slot for a reservation, best in
// the failure domain of its prefill; nil if there is none.
func (l *Ledger) freeElsewhere(r *reservation) *endpoint {
	c := l.newCycle(&waiting{want: r.want, service: r.service, arrived: l.now})
	var found *endpoint
	l.fleet.roles[live.RoleDecode].nearest(1, func(e *endpoint) (bool, bool) {
		if e.free(l.now) <= 0 {
			return false, false
		}
		if e == r.decode || !keepAll(l.row.perRequest, c, e) {
			return false, true
		}
		if found == nil || e.domain == r.prefill.domain {
			found = e
		}
		return true, true
	})
	return found
}

// moveSlot moves a reservation that waits to an endpoint with a free slot.
func (l *Ledger) moveSlot(r *reservation, e *endpoint) {
	l.leaveLink(r)
	l.change(r.decode, func(old *endpoint) {
		old.pending = without(old.pending, r)
		old.promote()
	})
	r.decode = e
	l.change(e, func(e *endpoint) {
		e.held = append(e.held, r)
		e.sortHeld()
		e.promoted = append(e.promoted, r)
	})
	r.link = l.linkBetween(r.prefill.domain, e.domain)
	if r.link != nil {
		l.addTransfer(r)
	}
}
