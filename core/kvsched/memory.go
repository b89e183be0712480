package kvsched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstPace is the first estimate of how fast an answer is written, in
	// tokens a second.
	initialDecodeRate = 300.0
	// paceMemory is the weight that the estimate gives to what was seen before.
	decodeRateDecay = 0.97
	// overrun is the share of the expected output that a request which has
	// exceeded it is believed to write yet: guesses are often far off.
	minRemainingShare = 0.25
	// mostWritten times the expected output is the most that a request is
	// believed to have written.
	maxGeneratedShare = 2.5
)

// pace averages how fast answers are written. Guesses of single outputs are
// often far off, their sum is not.
type decodeRate struct {
	tokens  float64
	seconds float64
}

// ended takes a request whose answer is complete.
func (p *decodeRate) add(expected int, took time.Duration) {
	p.tokens = decodeRateDecay*p.tokens + float64(expected)
	p.seconds = decodeRateDecay*p.seconds + took.Seconds()
}

// perSecond is the pace of one request, in tokens.
func (p *decodeRate) perSecond() float64 {
	if p.seconds <= 0 || p.tokens <= 0 {
		return initialDecodeRate
	}
	return p.tokens / p.seconds
}

// claim is what one request holds now and will yet add, in tokens.
type footprint struct{ held, remaining float64 }

// claimOf estimates a request's claim. Before its decode it holds its prompt.
func (l *Ledger) footprintOf(r *reservation) footprint {
	output := r.output
	written := 0.0
	if r.decodingAt > 0 {
		written = min((l.now-r.decodingAt).Seconds()*l.decodeRate.perSecond(), maxGeneratedShare*output)
	}
	left := output - written
	if least := minRemainingShare * output; left < least {
		left = least
	}
	return footprint{held: float64(roundUpToBlocks(max(1, r.want.PromptTokens))) + written, remaining: left}
}

// claimsLife is how long an engine's claims are reckoned with unchanged: up to
// the next look at a queue that is held up. At 400 tokens a second a request
// writes 2 in that time, of the thousands that it holds.
const footprintTTL = queuePollInterval

// claimsOf gives the claims of an engine's requests, the one with the most left
// first. They are worked out anew only where something has changed: the owner of a
// large pool would else spend most of its time on working them out for each
// waiting request at each event.
func (l *Ledger) footprintsOf(e *endpoint) []footprint {
	if !e.footprintsStale && l.now-e.footprintsAt < footprintTTL {
		return e.footprints
	}
	e.footprints = e.footprints[:0]
	for _, r := range e.decodes {
		e.footprints = append(e.footprints, l.footprintOf(r))
	}
	slices.SortFunc(e.footprints, func(a, b footprint) int { return cmp.Compare(b.remaining, a.remaining) })
	e.footprintsAt, e.footprintsStale = l.now, false
	return e.footprints
}

// climb adds claims up, those with the most left first: when one ends, all
// before it still hold theirs.
type peakSum struct{ held, decoding, peak float64 }

func (p *peakSum) add(c footprint) {
	p.held += c.held
	p.decoding++
	p.peak = max(p.peak, p.held+p.decoding*c.remaining)
}

// peak predicts the most memory that an engine's requests will hold together,
// with one more if extra is set: memory comes back request by request, while
// the others go on writing.
func (l *Ledger) peak(e *endpoint, extra *footprint) float64 {
	var p peakSum
	for _, c := range l.footprintsOf(e) {
		if extra != nil && extra.remaining > c.remaining {
			p.add(*extra)
			extra = nil
		}
		p.add(c)
	}
	if extra != nil {
		p.add(*extra)
	}
	return p.peak
}

// claim is what the request would hold when granted, and add.
func (w *waiting) footprint() footprint {
	return footprint{held: float64(roundUpToBlocks(max(1, w.want.PromptTokens))), remaining: w.output}
}

// fits says whether a request fits on an engine, and which share of its memory
// would be left at the peak.
func (l *Ledger) fits(e *endpoint, w *waiting) (left float64, ok bool) {
	l.tried++
	if len(e.decodes) >= e.slots {
		return 0, false
	}
	more := w.footprint()
	left = l.freeShareWith(e, &more)
	return left, left >= 0
}

// room is the share of an engine's memory that is left at the peak.
func (l *Ledger) freeShare(e *endpoint) float64 {
	l.tried++
	if len(e.decodes) >= e.slots {
		return 0
	}
	return l.freeShareWith(e, nil)
}

// roomWith is that share with one more request if extra is set; that of its
// places for an engine that does not tell its memory.
func (l *Ledger) freeShareWith(e *endpoint, extra *footprint) float64 {
	if e.memory <= 0 {
		return 1 - float64(len(e.decodes))/float64(max(1, e.slots))
	}
	return 1 - l.peak(e, extra)/float64(e.memory)
}

// held is the memory that an engine's requests hold now, in tokens.
func (l *Ledger) held(e *endpoint) int {
	sum := 0.0
	for _, c := range l.footprintsOf(e) {
		sum += c.held
	}
	return int(sum)
}
