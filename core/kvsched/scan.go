package kvsched

import "slices"

// queueScan holds the results of one scan of the queue. Free memory only
// shrinks during a scan, so a request at least as large as one that fits on no
// engine does not fit either.
type queueScan struct {
	// queue is the queue at the start of the scan.
	queue []*waiting
	// tooLarge are the smallest footprints that fit on no engine.
	tooLarge []footprint
	// candidates are the engines that the last request fits on.
	candidates []candidate
	// stoppedBy is the cause for which the last scan tried no more requests; empty if it
	// tried all.
	stoppedBy string
}

// begin starts a scan.
func (k *queueScan) begin(queue []*waiting) {
	k.queue = append(k.queue[:0], queue...)
	k.tooLarge = k.tooLarge[:0]
	k.stoppedBy = ""
}

// fitsNowhere reports whether a footprint is known to fit on no engine.
func (k *queueScan) fitsNowhere(c footprint) bool {
	return slices.ContainsFunc(k.tooLarge, func(x footprint) bool { return x.held <= c.held && x.remaining <= c.remaining })
}

// addTooLarge records a footprint that fits on no engine.
func (k *queueScan) addTooLarge(c footprint) {
	k.tooLarge = slices.DeleteFunc(k.tooLarge, func(x footprint) bool { return c.held <= x.held && c.remaining <= x.remaining })
	k.tooLarge = append(k.tooLarge, c)
}

// chooseInitialDecode is chooseDecode for a waiting request. Reusing the results for earlier requests of the scan saves
// evaluations: after a burst, hundreds of waiting requests fit on no engine.
func (l *Ledger) chooseInitialDecode(w *waiting) (*endpoint, string) {
	c := w.footprint()
	if !w.limited() && l.scan.fitsNowhere(c) {
		return nil, causeNoMemory
	}
	best, cause := l.chooseDecode(w)
	if cause == causeNoMemory && best == nil && !w.limited() {
		l.scan.addTooLarge(c)
	}
	return best, cause
}

// noneLeft reports whether none of the requests from the i-th on can be granted in this scan:
// each is known to fit on no engine. It records the cause.
func (l *Ledger) noneLeft(i int) bool {
	if l.exhaustive || slices.ContainsFunc(l.scan.queue[i:], l.mayFit) {
		return false
	}
	cause := causeNoEngine
	if slices.ContainsFunc(l.order, func(e *endpoint) bool { return e.decodesHere() && l.usableByAny(e) }) {
		cause = causeNoMemory
	}
	for _, w := range l.scan.queue[i:] {
		w.blocked = cause
	}
	l.scan.stoppedBy = cause
	return true
}

// mayFit reports whether a request is not known to fit on no engine.
func (l *Ledger) mayFit(w *waiting) bool {
	if w.limited() {
		return true
	}
	c := w.footprint()
	return !l.scan.fitsNowhere(c) && slices.ContainsFunc(l.order, func(e *endpoint) bool {
		return e.decodesHere() && !e.setAside && l.usableByAny(e) && !l.excluded(e, c)
	})
}
