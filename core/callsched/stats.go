package callsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
)

// Stats are totals since the scheduler started.
type Stats struct {
	// Wants counts the calls that were asked for, Repeated the wants received again.
	Wants, Repeated uint64
	// Granted counts the grants, GrantedAtOnce those without a wait, GrantedLate those of
	// calls that were forecast to be late.
	Granted, GrantedAtOnce, GrantedLate uint64
	// Adopted counts the grants taken over from former owners.
	Adopted uint64
	// Refused counts the refused calls by cause.
	Refused Refused
	// RefusedAfterWait counts those that had waited for more than an eighth of their
	// target.
	RefusedAfterWait uint64
	// Lapsed counts the grants whose leases ended without a report, EndedAfterLapse
	// those whose ends were reported later.
	Lapsed, EndedAfterLapse uint64
	// Forecasts counts how often the forecasts were right.
	Forecasts Forecasts
	// ByPriority counts calls by priority, 0 to 9.
	ByPriority [maxPriority + 1]Answered
}

// Refused counts refused calls by cause.
type Refused struct {
	// Forecast: they could not be in time at arrival. Overtaken: they were queued and
	// became too late.
	Forecast, Overtaken, QueueFull, NoEndpoint uint64
}

// Answered counts granted and refused calls.
type Answered struct{ Granted, Refused uint64 }

// Forecasts counts forecasts by what came of them.
type Forecasts struct {
	// InTime counts the calls that were said to be in time and were, Late those that
	// were late.
	InTime, Late uint64
	// Refused counts the calls refused by a forecast; of these, InVain found endpoints
	// with room and an empty queue within the forecast wait.
	Refused, InVain uint64
}

// refusedAtOnceShare is the part of its target that a call refused at once has waited at
// most.
const refusedAtOnceShare = 8

func (s *Stats) granted(w *waiting, now time.Duration) {
	s.Granted++
	if w.queuedAt == now {
		s.GrantedAtOnce++
	}
	if w.late {
		s.GrantedLate++
	}
	s.ByPriority[w.want.Priority].Granted++
}

func (s *Stats) refused(w *waiting, c cause, now time.Duration) {
	switch c {
	case causeForecast:
		s.Refused.Forecast++
		s.Forecasts.Refused++
	case causeOvertaken:
		s.Refused.Overtaken++
	case causeQueueFull:
		s.Refused.QueueFull++
	case causeNoEndpoint:
		s.Refused.NoEndpoint++
	}
	if now-w.queuedAt > (w.target-w.arrived)/refusedAtOnceShare {
		s.RefusedAfterWait++
	}
	s.ByPriority[w.want.Priority].Refused++
}

// judged records whether a call that was said to be in time was late.
func (s *Stats) judged(late bool) {
	if late {
		s.Forecasts.Late++
		return
	}
	s.Forecasts.InTime++
}

// Stats returns the totals since the start.
func (l *Ledger) Stats() Stats { return l.stats }

// Snapshot implements sched.Snapshotter.
func (l *Ledger) Snapshot() sched.Snapshot {
	s := sched.Snapshot{
		Pool:     l.options.Pool,
		Queued:   len(l.queue),
		Running:  len(l.granted),
		Settling: l.now < l.settled,
		Teams:    l.teams.snapshot(),
	}
	for _, e := range l.order {
		s.Slots += e.slots
		s.Held += e.inFlight
		if e.leaving {
			s.Leaving = append(s.Leaving, e.name)
		}
		if l.options.Health != nil && !l.options.Health.Allowed(e.name) {
			s.Ejected = append(s.Ejected, e.name)
		}
	}
	return s
}

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

var (
	_ sched.Scheduler   = (*Ledger)(nil)
	_ sched.Snapshotter = (*Ledger)(nil)
)
