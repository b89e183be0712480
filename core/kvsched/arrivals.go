package kvsched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/forecast"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// arrivalWindow is the time over which the current rate of arrivals is averaged, and
	// usualWindow that for the usual rate.
	arrivalWindow = 500 * time.Millisecond
	usualWindow   = 20 * time.Second
	// maxUrgencies bounds the urgencies whose arrivals are told apart. Those that are seen
	// beyond it count as the least urgent one.
	maxUrgencies = 32
	// negligibleArrivals is what is left of a count once its requests have ceased.
	negligibleArrivals = 0.05
	// minCovered bounds the rate that a first few arrivals seem to show.
	minCovered = 200 * time.Millisecond
	// scarceWeight is the weight of time in which requests wait in the usual rate.
	scarceWeight = 0.2
	// typicalDecay is the weight of earlier arrivals in the mean footprint.
	typicalDecay = 0.98
)

// urgency ranks requests: by priority, and among those of one priority by target. A team's own
// priority stands in the place of its routes', so that the target alone tells what is urgent
// to it.
type urgency struct {
	priority int
	target   time.Duration
}

// urgencyOf returns the urgency of a request with the given target.
func urgencyOf(w *sched.Want, target time.Duration) urgency { return urgency{w.Priority, target} }

// moreUrgentFirst compares urgencies.
func moreUrgentFirst(a, b urgency) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.target, b.target))
}

// arrivalCount counts the requests of one urgency; older ones count less.
type arrivalCount struct {
	urgency
	now, usual float64
}

// arrivals measures how much work of each urgency arrives.
type arrivals struct {
	// counts is sorted, the most urgent first.
	counts []arrivalCount
	// at is up to when the counts have decayed.
	at time.Duration
	// known and usualKnown are the times that the counts cover.
	known, usualKnown time.Duration
	// started is set by the first arrival; scarce is set while requests wait.
	started, scarce bool
	// sizes sums the footprints of the arrivals, older ones with less weight.
	sizes  footprint
	weight float64
}

// add counts an arrival.
func (a *arrivals) add(now time.Duration, u urgency) {
	if !a.started {
		a.started, a.at = true, now
	}
	a.decay(now)
	i, found := slices.BinarySearchFunc(a.counts, u, func(c arrivalCount, u urgency) int { return moreUrgentFirst(c.urgency, u) })
	if !found && len(a.counts) < maxUrgencies {
		a.counts = slices.Insert(a.counts, i, arrivalCount{urgency: u})
	}
	i = min(i, len(a.counts)-1)
	a.counts[i].now++
	a.counts[i].usual += a.usualWeight()
}

// observe counts the time up to now; scarce reports whether requests wait from now on.
func (a *arrivals) observe(now time.Duration, scarce bool) {
	if scarce != a.scarce && a.started {
		a.decay(now)
	}
	a.scarce = scarce
}

// addSize counts the footprint of an arrival.
func (a *arrivals) addSize(c footprint) {
	a.sizes.held = typicalDecay*a.sizes.held + c.held
	a.sizes.remaining = typicalDecay*a.sizes.remaining + c.remaining
	a.weight = typicalDecay*a.weight + 1
}

// typical returns a request of the mean size of those that arrive.
func (a *arrivals) typical() forecast.Request {
	if a.weight == 0 {
		return forecast.Request{}
	}
	held, remaining := a.sizes.held/a.weight, a.sizes.remaining/a.weight
	return forecast.Request{Held: held, Remaining: remaining, Leaves: remaining}
}

// typicalTokens is the memory that the typical request holds at its end.
func (a *arrivals) typicalTokens() float64 {
	t := a.typical()
	return t.Held + t.Remaining
}

// decay lets the counts decay up to now.
func (a *arrivals) decay(now time.Duration) {
	passed := now - a.at
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(arrivalWindow))
	usual := time.Duration(a.usualWeight() * float64(passed))
	keepUsual := math.Exp(-float64(usual) / float64(usualWindow))
	a.known += passed
	a.usualKnown += usual
	for i := range a.counts {
		a.counts[i].now *= keep
		a.counts[i].usual *= keepUsual
	}
	a.counts = slices.DeleteFunc(a.counts, func(c arrivalCount) bool { return c.usual < negligibleArrivals })
	a.at = now
}

// before predicts the arrivals that are more urgent than u, as of the last decay.
func (a *arrivals) before(u urgency) forecast.Arrivals {
	return a.rate(func(c *arrivalCount) bool { return moreUrgentFirst(c.urgency, u) < 0 })
}

// all predicts all arrivals.
func (a *arrivals) all() forecast.Arrivals {
	return a.rate(func(*arrivalCount) bool { return true })
}

func (a *arrivals) rate(of func(*arrivalCount) bool) forecast.Arrivals {
	now, usual := 0.0, 0.0
	for i := range a.counts {
		if c := &a.counts[i]; of(c) {
			now += c.now
			usual += c.usual
		}
	}
	window := covered(a.known, arrivalWindow)
	rate := forecast.Arrivals{Usual: usual / covered(a.usualKnown, usualWindow)}
	// What a few arrivals differ from the usual rate by may be chance.
	differs, chance := now/window-rate.Usual, math.Sqrt(now)/window
	rate.Now = rate.Usual + math.Copysign(max(0, math.Abs(differs)-chance), differs)
	return rate
}

// top returns the highest urgency that requests had of late.
func (a *arrivals) top() (top urgency, ok bool) {
	for _, c := range a.counts {
		if c.now >= negligibleArrivals {
			return c.urgency, true
		}
	}
	return urgency{}, false
}

// usualWeight is the weight of time and arrivals for the usual rate: less while requests wait,
// since a burst is not the usual, and more than none, since it may become that.
func (a *arrivals) usualWeight() float64 {
	if a.scarce {
		return scarceWeight
	}
	return 1
}

// covered returns the seconds that the counts of a window stand for: less than the window
// until it has passed once.
func covered(known, window time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-float64(max(known, minCovered))/float64(window)))
}
