package sched

// bind appends a Binding for each provisional grant that has received its slot.
func (l *Ledger) bind(actions []Action) []Action {
	for _, r := range l.promoted {
		if r.slotSince == 0 {
			r.slotSince = l.now
		}
		if !r.grant.Provisional || r.phase >= PhaseDecoding || l.granted[r.want.Request] != r {
			continue
		}
		r.grant.Provisional = false
		actions = append(actions, Action{To: r.want.From, Binding: &Binding{
			Request:     r.want.Request,
			Reservation: r.grant.Reservation,
			Decode:      r.decode.name,
		}})
	}
	clear(l.promoted)
	l.promoted = l.promoted[:0]
	return actions
}
