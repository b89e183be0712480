package sched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// linkKey names a link by its ends.
type linkKey struct {
	from id.Domain
	to   id.Domain
}

// transfer is one KV cache on its way, or to come.
type transfer struct {
	owner uint64
	// start is the prefill's predicted end; remaining is in bytes.
	start     time.Duration
	remaining float64
	// deadline is when the KV cache dies.
	deadline time.Duration
}

// link predicts the transfers that share a path, each with an equal part of
// its rate.
type link struct {
	// rate is in bytes a second.
	rate      float64
	transfers []transfer
	at        time.Duration
	scratch   []transfer
}

// findLink returns the rate between two domains; the last fitting link of the
// document applies, and an empty end fits every domain. ok is false for a path
// without a limit.
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

// advance moves the transfers on to now; those that ought to have ended stay,
// with nothing remaining, until they are removed.
func (l *link) advance(now time.Duration) {
	if now <= l.at {
		return
	}
	simulateTransfers(l.transfers, l.rate, l.at, now, nil)
	l.at = now
}

// fits predicts whether one more transfer would end within its life without
// making another late, and how long it would take.
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

// madeLate is false for a transfer that is late whatever is added: one past
// its deadline already.
func (l *link) madeLate(i, last int) bool {
	return i == last || l.transfers[i].deadline > l.at
}

// add notes a transfer.
func (l *link) add(now time.Duration, t transfer) {
	l.advance(now)
	l.transfers = append(l.transfers, t)
}

// remove forgets a transfer that ended.
func (l *link) remove(now time.Duration, owner uint64) {
	l.advance(now)
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.owner == owner })
}

// restart corrects a transfer once its prefill has ended.
func (l *link) restart(now time.Duration, owner uint64, bytes float64, life time.Duration) {
	l.advance(now)
	for i := range l.transfers {
		if l.transfers[i].owner == owner {
			l.transfers[i] = transfer{owner: owner, start: now, remaining: bytes, deadline: now + life}
		}
	}
}

// drain shares the rate equally among the started transfers from one time to
// another; ended is told of each end and stops the run by returning false.
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

// sharing counts the active transfers, the least of their remaining bytes, and
// the next start.
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

// progress takes one step in which the same transfers are active.
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
