package kvsched

import (
	"math"
	"slices"
	"time"
)

// room bounds what fits on an engine, so that a blocked queue is not tried again on engines where
// nothing has changed. It holds until the engine's requests change, and loosens with time and
// with changes of the decode rate.
type room struct {
	known bool
	// at is when it was computed, at the given decode rate.
	at   time.Duration
	rate float64
	// tokens is the memory left when the request that ends first does, least is what that one
	// adds until then, and requests their number.
	tokens, least float64
	requests      int
	// peak is the peak of the requests' memory.
	peak float64
	// decoded and longest are the sum of the times for which the requests had decoded, and the
	// longest of them.
	decoded, longest time.Duration
	// unfits are footprints that did not fit.
	unfits []unfit
}

// unfit is a footprint that did not fit on an engine, until a time at the earliest.
type unfit struct {
	footprint
	until time.Duration
}

// maxUnfits bounds the footprints remembered of one engine.
const maxUnfits = 8

// slack bounds by how much less memory the requests may be found to need than when the room was
// computed, all together and each.
func (r *room) slack(now time.Duration, rate float64) (all, each float64) {
	passed := now - r.at
	n := float64(r.requests + 1)
	// Answers grow and need as much less later, so that peaks fall only by those that do not
	// decode yet: by less than all requests, with a new one, grow.
	grown := max(rate, r.rate) * n * passed.Seconds()
	// At another rate, the requests are taken to have generated more or less so far.
	differs := math.Abs(rate - r.rate)
	each = differs * (r.longest + passed).Seconds()
	other := differs*(r.decoded.Seconds()+n*passed.Seconds()) + n*each
	return grown + other + roundingTokens, each
}

// excludes reports whether a footprint is known not to fit. All that is left when the first
// request ends has to hold it and what it has added by then.
func (r *room) excludes(now time.Duration, rate float64, c footprint) bool {
	tokens, each := r.slack(now, rate)
	if c.remaining >= r.least+each && c.held > r.tokens+tokens {
		return true
	}
	return rate == r.rate && slices.ContainsFunc(r.unfits, func(x unfit) bool {
		return now < x.until && x.held <= c.held && x.remaining <= c.remaining
	})
}

// excludedOnce reports whether the footprint did not fit when the room was computed.
func (r *room) excludedOnce(c footprint) bool { return c.remaining >= r.least && c.held > r.tokens }

// roundingTokens is far above the rounding error of the sums, and far below a block.
const roundingTokens = 0.001

// addUnfit remembers a footprint that exceeds the engine's memory by some tokens.
func (r *room) addUnfit(now time.Duration, c footprint, excess float64) {
	perSecond := r.rate * float64(r.requests+1)
	until := now + min(seconds(excess/max(1, perSecond)), time.Second)
	r.unfits = slices.DeleteFunc(r.unfits, func(x unfit) bool {
		return now >= x.until || c.held <= x.held && c.remaining <= x.remaining && until >= x.until
	})
	if len(r.unfits) < maxUnfits {
		r.unfits = append(r.unfits, unfit{footprint: c, until: until})
	}
}

// excluded reports whether a footprint is known not to fit on an engine.
func (l *Ledger) excluded(e *endpoint, c footprint) bool {
	if l.exhaustive || e.memory <= 0 {
		return false
	}
	rate := l.decodeRate.perSecond()
	if e.room.known && e.room.excludes(l.now, rate, c) {
		return true
	}
	if e.room.known && (e.room.at == l.now || !e.room.excludedOnce(c)) {
		return false // computing it again would hardly exclude it
	}
	l.computeRoom(e, rate)
	return e.room.excludes(l.now, rate, c)
}

// computeRoom computes the bound on what fits on an engine.
func (l *Ledger) computeRoom(e *endpoint, rate float64) {
	l.tried++
	sizes := l.footprintsOf(e)
	left := room{known: true, at: l.now, rate: rate, tokens: float64(e.memory), requests: len(sizes), unfits: l.unfitsAt(e, rate)}
	if len(sizes) > 0 {
		left.least = sizes[len(sizes)-1].remaining
	}
	for _, c := range sizes {
		left.tokens -= c.held + left.least
	}
	left.tokens -= left.least
	left.peak = l.peak(e, nil)
	for _, r := range e.decodes {
		if r.decodingAt > 0 {
			left.decoded += l.now - r.decodingAt
			left.longest = max(left.longest, l.now-r.decodingAt)
		}
	}
	e.room = left
}

// unfitsAt returns the footprints of an engine that are still known not to fit.
func (l *Ledger) unfitsAt(e *endpoint, rate float64) []unfit {
	if !e.room.known || e.room.rate != rate {
		return e.room.unfits[:0]
	}
	return e.room.unfits
}
