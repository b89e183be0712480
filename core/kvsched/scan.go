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
	// byFreeShare caches the decoding engines sorted by free memory; empty
	// until computed.
	byFreeShare []*endpoint
	// stoppedBy is the cause for which the last scan tried no more requests; empty if it
	// tried all.
	stoppedBy string
}

// begin starts a scan.
func (k *queueScan) begin(queue []*waiting) {
	k.queue = append(k.queue[:0], queue...)
	k.tooLarge = k.tooLarge[:0]
	k.byFreeShare = k.byFreeShare[:0]
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

// chooseInitialDecode is chooseDecode for a request whose prefill engine is not
// chosen yet. Reusing the results for earlier requests of the scan saves
// evaluations: after a burst, hundreds of waiting requests fit on no engine.
func (l *Ledger) chooseInitialDecode(w *waiting) (*endpoint, string) {
	c := w.footprint()
	if !w.limited() && l.scan.fitsNowhere(c) {
		return nil, causeNoMemory
	}
	best, cause := l.chooseDecode(w, nil)
	if cause == causeNoMemory && best == nil && !w.limited() {
		l.scan.addTooLarge(c)
	}
	return best, cause
}
