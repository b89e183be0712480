package kvsched

import (
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Causes of a refusal by the forecast.
const (
	causeMemoryPastTarget  = "memory: no decode engine will have room before its target"
	causePrefillPastTarget = "prefill: no engine will be free before its target"
	causeQueuePastTarget   = "queue: those before it take the memory that is free before its target"
	causeNothingSpare      = "memory: its target has passed, and no room will be to spare"
	causeEnginesLost       = "engines: too few are left for those that wait"
)

const (
	// secondLookAfter is how long a request waits at most that the forecast refuses.
	secondLookAfter = 100 * time.Millisecond
	// secondLookShare bounds that wait as a share of the request's target.
	secondLookShare = 0.1
)

// refusedByForecast is a request that the forecast refuses, with the cause.
type refusedByForecast struct {
	*waiting
	cause string
}

// load is what is served before a waiting request.
type load struct {
	// requests is in typical requests, prompts in tokens.
	requests, prompts float64
}

func (b *load) add(w *waiting, o *outlook) {
	b.requests += float64(w.tokens) / max(1, o.size)
	if !w.want.Prefilled {
		b.prompts += float64(w.want.PromptTokens)
	}
}

// reviewQueue refuses the waiting requests that the forecast shows to get no room that is of
// use to them. It follows a scan, so that what can be granted now has been.
func (l *Ledger) reviewQueue(actions []sched.Action) []sched.Action {
	if !l.options.ForecastRefusal || len(l.queue) == 0 || l.now < l.settled {
		return actions
	}
	o := l.lookAhead()
	if o.forecast.Engines() == 0 {
		return actions // nobody knows when one comes back
	}
	l.arrivals.decay(l.now)
	l.book.Lapse(l.now)
	before, refused := l.reviewEach(o)
	for _, r := range refused {
		actions = append(actions, l.refuseByForecast(r, l.appoint(r.waiting, o, before))...)
	}
	return actions
}

// reviewEach takes those off the queue that are refused, and returns the needs of the others.
func (l *Ledger) reviewEach(o *outlook) (before load, refused []refusedByForecast) {
	lost := o.forecast.Engines() < l.enginesReviewed
	l.enginesReviewed = o.forecast.Engines()
	kept := l.queue[:0]
	for _, w := range l.queue {
		cause := l.review(w, o, before, lost)
		if cause != "" && (lost || !l.secondLook(w)) {
			refused = append(refused, refusedByForecast{waiting: w, cause: cause})
			continue
		}
		kept = append(kept, w)
		before.add(w, o)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return before, refused
}

// review returns the cause for which a waiting request is refused; empty if it may wait. lost
// reports that engines were lost, so that what was promised may not hold.
func (l *Ledger) review(w *waiting, o *outlook, before load, lost bool) string {
	switch {
	case w.want.Prefilled || w.limited() || w.promised && !lost:
		return ""
	case w.tooLate:
		return l.reviewLate(w, o, before)
	}
	left := w.target - l.now - l.firstToken.expected(w.want.PromptTokens)
	start, cause := l.startOf(w, o, before, left)
	if !w.reviewed {
		w.reviewed = true
		w.forecast = start
	}
	if cause != "" && time.Duration(l.forecastError.margin()*float64(start)) > left {
		if lost && w.promised {
			return causeEnginesLost
		}
		return cause
	}
	w.promised = !l.secondLook(w)
	return ""
}

// secondLook reports whether a request that the forecast refuses waits for another one, since
// a forecast errs and a refusal is for good. The wait is too short to matter to the caller.
func (l *Ledger) secondLook(w *waiting) bool {
	return l.now-w.arrived < min(secondLookAfter, time.Duration(secondLookShare*float64(w.target-w.arrived)))
}

// startOf predicts how long a request waits, up to a limit, and what for; the cause is empty if
// it waits for nothing.
func (l *Ledger) startOf(w *waiting, o *outlook, before load, limit time.Duration) (start time.Duration, cause string) {
	start, cause = l.roomFor(w, o, before, limit)
	if l.wholeEngines() {
		return start, cause
	}
	prefill, ok := o.forecast.Prefill(before.prompts)
	if prefill -= l.now - o.at; ok && prefill > start {
		return prefill, causePrefillPastTarget
	}
	return start, cause
}

// roomFor predicts how long a request waits for memory.
func (l *Ledger) roomFor(w *waiting, o *outlook, before load, limit time.Duration) (start time.Duration, cause string) {
	size := float64(w.tokens) / max(1, o.size)
	overtaking := l.arrivals.before(w.urgency)
	elapsed := l.now - o.at
	room, ok := o.forecast.Room(before.requests+size+o.granted+l.reserveAgainst(w), elapsed+limit, func(d time.Duration) float64 {
		booked, _ := l.book.Due(l.now+d, w.want.Priority, "")
		return overtaking.Within(d) + booked
	})
	if !ok {
		room = elapsed + max(0, limit) + o.forecast.Horizon()
	}
	if room -= elapsed; room <= 0 {
		return 0, ""
	}
	if size > 1 {
		// It needs the room of more than one on the same engine.
		room += time.Duration((size - 1) * float64(o.forecast.Gap()))
	}
	if float64(o.forecast.Within(elapsed+limit)) >= 1+o.granted {
		return room, causeQueuePastTarget
	}
	return room, causeMemoryPastTarget
}

// reviewLate keeps a request whose target has passed only if room is left over for it beside
// all that is predicted to arrive until its patience ends.
func (l *Ledger) reviewLate(w *waiting, o *outlook, before load) string {
	ahead := min(w.patience-l.now, o.forecast.Horizon())
	arriving := l.arrivals.all().Within(ahead)
	if o.forecast.Expected(ahead) >= before.requests+o.granted+1+arriving {
		return ""
	}
	return causeNothingSpare
}

// refuseByForecast refuses a request for a cause that the forecast gave.
func (l *Ledger) refuseByForecast(r refusedByForecast, after time.Duration) []sched.Action {
	w := r.waiting
	lead := l.firstToken.expected(w.want.PromptTokens)
	delete(l.waiting, w.want.Request)
	l.forecastError.refused(l.now, w, w.target-lead)
	reason := fmt.Sprintf("%s (waited %v, room was forecast in %v, the first token takes %v, %d waiting)", r.cause,
		(l.now - w.arrived).Round(time.Millisecond), w.forecast.Round(time.Millisecond), lead.Round(time.Millisecond), len(l.queue))
	return l.refuse(w.want, verdict.CodeOverloaded, after, reason)
}
