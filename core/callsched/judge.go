package callsched

import (
	"slices"
	"time"
)

// maxPendingForecasts bounds the refusals whose forecasts are still to be judged.
const maxPendingForecasts = 1024

// forecasts holds the ends of the waits that were forecast for refused calls, in the order
// of the refusals.
type forecasts struct{ pending []time.Duration }

// refused records the wait that was forecast for a refused call.
func (f *forecasts) refused(now, wait time.Duration) {
	if len(f.pending) >= maxPendingForecasts {
		f.pending = slices.DeleteFunc(f.pending, func(until time.Duration) bool { return until <= now })
	}
	if len(f.pending) < maxPendingForecasts {
		f.pending = append(f.pending, now+wait)
	}
}

// judge returns how many refusals were in vain if a place is free now and no call waits.
func (f *forecasts) judge(now time.Duration) (inVain uint64) {
	for _, until := range f.pending {
		if until > now {
			inVain++
		}
	}
	f.pending = f.pending[:0]
	return inVain
}

// judgeRefusals judges the forecasts for which calls were refused, once there is room again.
func (l *Ledger) judgeRefusals() {
	if len(l.forecasts.pending) > 0 && len(l.queue) == 0 && l.anyRoom() {
		l.stats.Forecasts.InVain += l.forecasts.judge(l.now)
	}
}
