package concurrency

import "time"

// Snapshot implements Limiter.
func (l *Learner) Snapshot(now time.Duration) []Learned {
	var learned []Learned
	for _, e := range l.order {
		if e.pace.samples == 0 {
			continue
		}
		learned = append(learned, Learned{
			Endpoint: e.Endpoint,
			Limit:    l.handedOver(now, e),
			Base:     e.pace.expected(0),
			Current:  e.pace.expected(crowding(e.Slots, e.Slots)),
			AgeMS:    (now - e.lastSample).Milliseconds(),
		})
	}
	return learned
}

// handedOver is the limit that the next owner is told.
func (l *Learner) handedOver(now time.Duration, e *endpoint) float64 {
	if e.limit == unlimited {
		return float64(max(1, e.Slots))
	}
	return max(1, e.aged(now))
}

// Restore implements Limiter.
func (l *Learner) Restore(now time.Duration, learned []Learned) {
	for _, known := range learned {
		e := l.endpoints[known.Endpoint]
		if e == nil || e.pace.samples > 0 || !known.valid() {
			continue
		}
		e.restore(now, known)
	}
	l.peers = peers{}
}

// valid tells whether the values can be used: they come from another process.
func (k Learned) valid() bool {
	return k.Limit >= 1 && k.Base > 0 && k.Current > 0 && k.AgeMS >= 0 && k.AgeMS < mostAgeMS
}

// mostAgeMS is the age in milliseconds from which nothing is left of what was learned.
const mostAgeMS = int64(5 * idleMemory / time.Millisecond)

func (e *endpoint) restore(now time.Duration, known Learned) {
	at := now - time.Duration(known.AgeMS)*time.Millisecond
	base := logSeconds(known.Base)
	slope := min(max(0, logSeconds(known.Current)-base), mostSlope)
	e.pace = pace{base: base, slope: slope, samples: restoredSamples, at: at}
	if known.Limit < float64(e.Slots) {
		e.limit = known.Limit
	}
	e.lastSample, e.reachedAt = at, at
}

// restoredSamples is how many samples a restored pace counts for: own ones soon outweigh it.
const restoredSamples = 4
