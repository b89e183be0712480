package sched

import "fmt"

// violate reports a broken invariant.
func (l *Ledger) violate(name, detail string) {
	if l.options.Violation != nil {
		l.options.Violation(name, detail)
	}
}

// require reports a broken invariant unless ok.
func (l *Ledger) require(ok bool, name, format string, args ...any) {
	if !ok {
		l.violate(name, fmt.Sprintf(format, args...))
	}
}

// check checks the inexpensive invariants after each event.
func (l *Ledger) check() {
	if l.queue.virtualTime < l.virtualTime {
		l.violate("virtual_time", fmt.Sprintf("went back from %g to %g", l.virtualTime, l.queue.virtualTime))
	}
	l.virtualTime = l.queue.virtualTime
	if l.queue.queued > l.options.MaxQueue {
		l.violate("queue_bound", fmt.Sprintf("%d requests waiting", l.queue.queued))
	}
	if l.queue.queued != len(l.waiting) {
		l.violate("queue_count", fmt.Sprintf("%d queued, %d known", l.queue.queued, len(l.waiting)))
	}
	if len(l.expiry) != len(l.granted) {
		l.violate("expiry_count", fmt.Sprintf("%d in the expiry heap, %d granted", len(l.expiry), len(l.granted)))
	}
}

// checkGrant asserts that the request may be granted on the pair.
func (l *Ledger) checkGrant(w *waiting, p *pair) {
	if w.gone || l.granted[w.want.Request] != nil {
		l.violate("one_grant", fmt.Sprintf("request %s is granted again", w.want.Request))
	}
	l.checkLeaving(p.decode)
	if p.prefill.endpoint != nil {
		l.checkLeaving(p.prefill.endpoint)
	}
	l.checkSlot(p.decode)
	if w.team.queued > l.options.MaxTeamQueue {
		l.violate("queue_bound", fmt.Sprintf("team %s: %d waiting", w.team.name, w.team.queued))
	}
}

// checkLeaving asserts that an endpoint that is granted work isn't leaving.
func (l *Ledger) checkLeaving(e *endpoint) {
	if e.leaving() {
		l.violate("grant_to_leaving", fmt.Sprintf("endpoint %s", e.name))
	}
}

// checkSlot asserts that one more request fits: into a free slot, or into a held
// slot whose release no other request waits for.
func (l *Ledger) checkSlot(e *endpoint) {
	used := len(e.held) + e.foreign
	fitsNow := used+len(e.pending) < e.slots()
	excess := max(0, used-e.slots())
	fitsSoon := len(e.pending)+excess < len(e.held)
	if l.options.Reservation == Early {
		fitsSoon = false
	}
	if !fitsNow && !fitsSoon {
		l.violate("slots", fmt.Sprintf("endpoint %s: %d held, %d pending, %d foreign of %d slots",
			e.name, len(e.held), len(e.pending), e.foreign, e.slots()))
	}
}

// Audit checks the invariants that need a pass over the whole state: lists and
// counters agree, and each endpoint lists exactly its own reservations.
func (l *Ledger) Audit() {
	teams := map[*team]int{}
	slots := map[*endpoint]int{}
	prefills := map[*endpoint]int{}
	awaitingFirstToken := 0
	for _, r := range l.granted {
		teams[r.team]++
		slots[r.decode]++
		if r.prefill != nil && r.phase < PhaseTransferring {
			prefills[r.prefill]++
		}
		if r.awaitsFirstToken() {
			awaitingFirstToken++
		}
		l.require(r.expires > l.now, "expiry", "%v is still granted %v after its expiry", r, l.now-r.expires)
	}
	l.require(awaitingFirstToken == l.awaitingFirstToken, "awaited", "%d counted, %d granted await a first token", l.awaitingFirstToken, awaitingFirstToken)
	for _, t := range l.teams {
		l.require(teams[t] == t.granted, "team_count", "team %s: %d counted, %d granted", t.name, t.granted, teams[t])
		l.require(t.queued >= 0, "team_count", "team %s: %d queued", t.name, t.queued)
	}
	for _, e := range l.endpoints {
		l.auditEndpoint(e, slots[e], prefills[e])
	}
}

// auditEndpoint checks the invariants of one endpoint.
func (l *Ledger) auditEndpoint(e *endpoint, slots, prefills int) {
	holding := len(e.held) + len(e.pending)
	l.require(holding == slots, "slots", "endpoint %s: %d listed, %d granted", e.name, holding, slots)
	l.require(len(e.queue) == prefills, "prefills", "endpoint %s: %d queued, %d granted", e.name, len(e.queue), prefills)
	l.require(!e.indexed || !e.leaving(), "leaving_indexed", "endpoint %s", e.name)
	if e.suspect != nil {
		l.require(l.granted[e.suspect.want.Request] == e.suspect, "suspect", "endpoint %s: suspect %v has ended", e.name, e.suspect)
	}
}
