package kvsched

import "slices"

// look is what one look at the queue has found so far. Within it room only
// shrinks: a request at least as large as one that fits nowhere fits nowhere.
type queueScan struct {
	// queue is the queue at the begin of the look.
	queue []*waiting
	// tooLarge are the smallest claims that fit on no engine.
	tooLarge []footprint
	// byRoom are the engines that write, once they were put in order.
	byFreeShare []*endpoint
}

// begin starts a look.
func (k *queueScan) begin(queue []*waiting) {
	k.queue = append(k.queue[:0], queue...)
	k.tooLarge = k.tooLarge[:0]
	k.byFreeShare = k.byFreeShare[:0]
}

// fitsNowhere says whether a claim is known to fit on no engine.
func (k *queueScan) fitsNowhere(c footprint) bool {
	return slices.ContainsFunc(k.tooLarge, func(x footprint) bool { return x.held <= c.held && x.remaining <= c.remaining })
}

// noRoom notes a claim that fits on no engine.
func (k *queueScan) addTooLarge(c footprint) {
	k.tooLarge = slices.DeleteFunc(k.tooLarge, func(x footprint) bool { return c.held <= x.held && c.remaining <= x.remaining })
	k.tooLarge = append(k.tooLarge, c)
}

// firstDecode is chooseDecode for a request whose prefill engine is not chosen
// yet. What a look has found out for others saves the trying: a burst leaves
// hundreds of requests waiting that fit nowhere.
func (l *Ledger) chooseInitialDecode(w *waiting) (*endpoint, string) {
	c := w.footprint()
	if len(w.want.Avoid) == 0 && l.scan.fitsNowhere(c) {
		return nil, causeNoMemory
	}
	best, cause := l.chooseDecode(w, nil)
	if cause == causeNoMemory && best == nil && len(w.want.Avoid) == 0 {
		l.scan.addTooLarge(c)
	}
	return best, cause
}
