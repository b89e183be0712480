package callsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
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
	// ByTeam counts calls by team, sorted by name. Of more than 1024 teams, those that
	// send nothing are left out.
	ByTeam []TeamAnswered
}

// TeamAnswered counts the calls of a team.
type TeamAnswered struct {
	Team id.Team
	Answered
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
	w.team.answered.Granted++
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
	w.team.answered.Refused++
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
func (l *Ledger) Stats() Stats {
	s := l.stats
	s.ByTeam = make([]TeamAnswered, 0, len(l.teams.list))
	for _, t := range l.teams.list {
		s.ByTeam = append(s.ByTeam, TeamAnswered{Team: t.name, Answered: t.answered})
	}
	slices.SortFunc(s.ByTeam, func(a, b TeamAnswered) int { return cmp.Compare(a.Team, b.Team) })
	return s
}

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

var (
	_ sched.Scheduler   = (*Ledger)(nil)
	_ sched.Snapshotter = (*Ledger)(nil)
)
