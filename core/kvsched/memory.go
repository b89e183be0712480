package kvsched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialDecodeRate is the initial estimate of the decode rate of one
	// request, in tokens a second.
	initialDecodeRate = 300.0
	// decodeRateDecay is the weight of earlier samples in the estimate.
	decodeRateDecay = 0.97
	// minRemainingShare is the least share of the expected output that a
	// request is assumed to generate yet, even beyond its expected length:
	// guesses are often far off.
	minRemainingShare = 0.25
	// maxGeneratedShare bounds the output that a request is assumed to have
	// generated, as a multiple of the expected output.
	maxGeneratedShare = 2.5
)

// decodeRate averages the decode rate of one request, as the sum of guessed
// outputs over the sum of decode times: single guesses are often far off, their
// sum is not.
type decodeRate struct {
	tokens  float64
	seconds float64
}

// add adds the sample of a completed answer.
func (p *decodeRate) add(expected int, took time.Duration) {
	p.tokens = decodeRateDecay*p.tokens + float64(expected)
	p.seconds = decodeRateDecay*p.seconds + took.Seconds()
}

// perSecond returns the decode rate of one request, in tokens a second.
func (p *decodeRate) perSecond() float64 {
	if p.seconds <= 0 || p.tokens <= 0 {
		return initialDecodeRate
	}
	return p.tokens / p.seconds
}

// footprint is the memory that one request holds now and the memory that it
// will add, in tokens.
type footprint struct{ held, remaining float64 }

// footprintOf estimates the footprint of a granted request. Before its decode
// the request holds its prompt.
func (l *Ledger) footprintOf(r *reservation) footprint {
	output := r.output
	generated := 0.0
	if r.decodingAt > 0 {
		generated = min((l.now-r.decodingAt).Seconds()*l.decodeRate.perSecond(), maxGeneratedShare*output)
	}
	left := output - generated
	if least := minRemainingShare * output; left < least {
		left = least
	}
	return footprint{held: float64(roundUpToBlocks(max(1, r.want.PromptTokens))) + generated, remaining: left}
}

// footprintsOf returns the footprints of an engine's requests, largest
// remaining first. They are computed once an event, not for each waiting request.
func (l *Ledger) footprintsOf(e *endpoint) []footprint {
	rate := l.decodeRate.perSecond()
	if !e.footprintsStale && l.now == e.footprintsAt && rate == e.footprintsRate {
		return e.footprints
	}
	e.footprints = e.footprints[:0]
	for _, r := range e.decodes {
		e.footprints = append(e.footprints, l.footprintOf(r))
	}
	slices.SortFunc(e.footprints, func(a, b footprint) int { return cmp.Compare(b.remaining, a.remaining) })
	e.footprintsAt, e.footprintsRate, e.footprintsStale = l.now, rate, false
	return e.footprints
}

// peakSum accumulates footprints, largest remaining first: when one request
// ends, all before it still hold their memory.
type peakSum struct{ held, decoding, peak float64 }

func (p *peakSum) add(c footprint) {
	p.held += c.held
	p.decoding++
	p.peak = max(p.peak, p.held+p.decoding*c.remaining)
}

// peak predicts the peak memory of an engine's requests, plus one more if extra
// is set: memory is released request by request while the others keep
// generating.
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

// footprint is the memory that the request would hold once granted, and add
// later.
func (w *waiting) footprint() footprint {
	return footprint{held: float64(roundUpToBlocks(max(1, w.want.PromptTokens))), remaining: w.output}
}

// fits reports whether a request fits on an engine, and the share of memory
// that would be free at the peak.
func (l *Ledger) fits(e *endpoint, w *waiting) (free float64, ok bool) {
	return l.fitsFootprint(e, w.footprint())
}

// fitsFootprint is fits for a footprint. It is not evaluated if it is known not to fit.
func (l *Ledger) fitsFootprint(e *endpoint, more footprint) (free float64, ok bool) {
	if l.excluded(e, more) {
		return 0, false
	}
	l.tried++
	if len(e.decodes) >= e.slots {
		return 0, false
	}
	free = l.freeShareWith(e, &more)
	if free < 0 {
		e.room.addUnfit(l.now, more, -free*float64(e.memory))
	}
	return free, free >= 0
}

// freeShareWith returns the share of an engine's memory that is free at the predicted peak with
// one more request; for an engine that reports no memory size, the share of free slots.
func (l *Ledger) freeShareWith(e *endpoint, extra *footprint) float64 {
	if e.memory <= 0 {
		return l.freeSlots(e)
	}
	return 1 - l.peak(e, extra)/float64(e.memory)
}

// freeSlots returns the share of an engine's slots that are free.
func (l *Ledger) freeSlots(e *endpoint) float64 {
	return 1 - float64(len(e.decodes))/float64(max(1, e.slots))
}

// held returns the memory that an engine's requests hold now, in tokens.
func (l *Ledger) held(e *endpoint) int {
	sum := 0.0
	for _, c := range l.footprintsOf(e) {
		sum += c.held
	}
	return int(sum)
}
