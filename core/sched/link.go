package sched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// linkKey identifies a link by its ends.
type linkKey struct {
	from id.Domain
	to   id.Domain
}

// transfer is a running or future transfer of a KV cache.
type transfer struct {
	owner uint64
	// start is the predicted end of the prefill; remaining is in bytes.
	start     time.Duration
	remaining float64
	// deadline is when the KV cache expires.
	deadline time.Duration
}

// link predicts the transfers that share a path; each gets an equal share of its
// rate.
type link struct {
	// rate is in bytes a second.
	rate      float64
	transfers []transfer
	at        time.Duration
	scratch   []transfer
}

// findLink returns the rate between two domains in bytes a second. The last
// matching link of the document applies; an empty end matches every domain. ok is
// false for a path without a limit.
func findLink(links []live.Link, key linkKey) (rate float64, ok bool) {
	for i := len(links) - 1; i >= 0; i-- {
		l := links[i]
		fits := (l.From == "" || l.From == key.from) && (l.To == "" || l.To == key.to)
		if fits && l.BytesPerSecond > 0 {
			return l.BytesPerSecond, true
		}
	}
	return 0, false
}

// advance advances the transfers to now; a transfer that is predicted to have
// ended stays, with nothing remaining, until it is removed.
func (l *link) advance(now time.Duration) {
	if now <= l.at {
		return
	}
	simulateTransfers(l.transfers, l.rate, l.at, now, nil)
	l.at = now
}

// fits predicts how long one more transfer would take, and whether it would end
// within its lifetime without making another transfer late.
func (l *link) fits(now, start time.Duration, bytes float64, life time.Duration) (time.Duration, bool) {
	l.advance(now)
	fresh := transfer{start: max(now, start), remaining: max(1, bytes), deadline: start + life}
	l.scratch = append(l.scratch[:0], l.transfers...)
	l.scratch = append(l.scratch, fresh)
	inTime := true
	took := life
	last := len(l.scratch) - 1
	simulateTransfers(l.scratch, l.rate, now, never, func(i int, at time.Duration) bool {
		late := at > l.scratch[i].deadline
		if i == last {
			took = at - fresh.start
		}
		if late && l.madeLate(i, last) {
			inTime = false
		}
		return inTime
	})
	return took, inTime
}

// madeLate is false for an existing transfer that is past its deadline already:
// the added transfer is not the cause.
func (l *link) madeLate(i, last int) bool {
	return i == last || l.transfers[i].deadline > l.at
}

// add adds a transfer.
func (l *link) add(now time.Duration, t transfer) {
	l.advance(now)
	l.transfers = append(l.transfers, t)
}

// remove removes the transfer of an owner.
func (l *link) remove(now time.Duration, owner uint64) {
	l.advance(now)
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.owner == owner })
}

// restart sets the actual start and size of a transfer after its prefill has
// ended.
func (l *link) restart(now time.Duration, owner uint64, bytes float64, life time.Duration) {
	l.advance(now)
	for i := range l.transfers {
		if l.transfers[i].owner == owner {
			l.transfers[i] = transfer{owner: owner, start: now, remaining: bytes, deadline: now + life}
		}
	}
}

// simulateTransfers advances the transfers from one time to another, with the
// rate shared equally among the started ones. It calls ended at each end of a
// transfer and stops if ended returns false.
func simulateTransfers(list []transfer, rate float64, from, until time.Duration, ended func(int, time.Duration) bool) {
	at := from
	for at < until {
		active, least, next := activeTransfers(list, at, until)
		if active == 0 && next >= until {
			return
		}
		step := next - at
		if active > 0 {
			step = min(step, seconds(least*float64(active)/rate)+1)
		}
		if !stepTransfers(list, rate, at, step, active, ended) {
			return
		}
		at += step
	}
}

// activeTransfers returns the number of active transfers, the smallest number of
// their remaining bytes, and the next start.
func activeTransfers(list []transfer, at, until time.Duration) (active int, least float64, next time.Duration) {
	next = until
	for i := range list {
		t := &list[i]
		if t.remaining <= 0 {
			continue
		}
		if t.start > at {
			next = min(next, t.start)
			continue
		}
		if active == 0 || t.remaining < least {
			least = t.remaining
		}
		active++
	}
	return active, least, next
}

// stepTransfers advances the transfers by one step in which the set of active
// transfers does not change. It returns false if ended does.
func stepTransfers(list []transfer, rate float64, at, step time.Duration, active int, ended func(int, time.Duration) bool) bool {
	if active == 0 {
		return true
	}
	share := rate * step.Seconds() / float64(active)
	for i := range list {
		t := &list[i]
		if t.remaining <= 0 || t.start > at {
			continue
		}
		t.remaining -= share
		if t.remaining <= 0 && ended != nil && !ended(i, at+step) {
			return false
		}
	}
	return true
}
