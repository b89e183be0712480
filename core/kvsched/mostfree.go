package kvsched

// mostFree returns the usable decode engine with the most free memory, which
// will fit the request first.
func (l *Ledger) mostFree(w *waiting) *endpoint {
	first := l.mostFreeAtBest(w)
	if first == nil {
		return nil
	}
	best, bestShare := first, l.freeShare(first)
	for _, e := range l.order {
		if e == first || !e.decodesHere() || !l.usable(e, w) || l.freeShareAtBest(e) < bestShare {
			continue
		}
		share := l.freeShare(e)
		if share > bestShare || share == bestShare && e.name < best.name {
			best, bestShare = e, share
		}
	}
	return best
}

// mostFreeAtBest returns the usable decode engine that may have the most free memory.
func (l *Ledger) mostFreeAtBest(w *waiting) *endpoint {
	var best *endpoint
	bestShare := 0.0
	for _, e := range l.order {
		if !e.decodesHere() || !l.usable(e, w) {
			continue
		}
		if share := l.freeShareAtBest(e); best == nil || share > bestShare {
			best, bestShare = e, share
		}
	}
	return best
}

// freeShareAtBest bounds the free share of an engine's memory by what was computed last.
func (l *Ledger) freeShareAtBest(e *endpoint) float64 {
	if l.exhaustive || !e.room.known || e.memory <= 0 {
		return 1
	}
	slack, _ := e.room.slack(l.now, l.decodeRate.perSecond())
	return max(0, 1-(e.room.peak-slack)/float64(e.memory))
}

// freeShare returns the share of an engine's memory that is free at the
// predicted peak; 0 without a free slot.
func (l *Ledger) freeShare(e *endpoint) float64 {
	rate := l.decodeRate.perSecond()
	if !e.room.known || e.room.at != l.now || e.room.rate != rate {
		l.computeRoom(e, rate)
	}
	switch {
	case len(e.decodes) >= e.slots:
		return 0
	case e.memory <= 0:
		return l.freeSlots(e)
	default:
		return 1 - e.room.peak/float64(e.memory)
	}
}
