package callsched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// messageTime is the time of the messages around a call's time in service: the grant to the
// daemon and the answer to the caller.
const messageTime = 3 * time.Millisecond

// waiting is a call in the queue.
type waiting struct {
	want    sched.Want
	service *service
	team    *team
	arrived time.Duration
	// queuedAt is when the owner got the call.
	queuedAt time.Duration
	// target is when the answer is due, patience when the wait ends, and lifetime when
	// the caller no longer accepts an answer.
	target, patience, lifetime time.Duration
	// cost is the expected time in service.
	cost time.Duration
	// startTag orders the calls of one priority by their teams' shares.
	startTag float64
	// late reports whether the call is forecast to miss its target, as of the last look.
	late bool
	// promised is set if the call was admitted as one that will be in time.
	promised bool
}

// Rank implements fairshare.Request.
func (w *waiting) Rank() fairshare.Rank {
	return fairshare.Rank{Late: w.late, Priority: w.want.Priority, Arrived: w.arrived, StartTag: w.startTag}
}

// Team implements fairshare.Request.
func (w *waiting) Team() id.Team { return w.want.Team }

// Cost implements fairshare.Request: the expected time in service, in seconds.
func (w *waiting) Cost() float64 { return w.cost.Seconds() }

// SetStartTag implements fairshare.Request.
func (w *waiting) SetStartTag(tag float64) { w.startTag = tag }

// defaultLifetime is the lifetime of calls whose service sets none.
const defaultLifetime = live.DefaultTimeoutMS * time.Millisecond

// newWaiting returns the queue entry of a Want. A call without a target is in time as long as
// its caller is there.
func (l *Ledger) newWaiting(w sched.Want, s *service) *waiting {
	arrived := l.now - max(0, w.Age)
	w.Priority = min(max(w.Priority, 0), maxPriority)
	lifetime := orDefault(w.Lifetime, orDefault(s.Timeout(), defaultLifetime))
	return &waiting{
		want:     w,
		service:  s,
		team:     l.teams.get(l.now, w.Team),
		arrived:  arrived,
		queuedAt: l.now,
		target:   arrived + orDefault(w.Target, orDefault(s.FirstTokenTarget(), lifetime)),
		patience: arrived + orDefault(w.Patience, orDefault(s.Patience(), lifetime)),
		lifetime: arrived + lifetime,
		cost:     s.pace.scale(l.capacity().perCall),
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// latestStart is when the call must be granted to be expected in time, within its patience.
func (w *waiting) latestStart() time.Duration { return min(w.target-messageTime-w.cost, w.patience) }

// safeStart is when the call must be granted to be in time also if it takes longer than
// expected by as much as many do.
func (w *waiting) safeStart(perCall time.Duration) time.Duration {
	return w.latestStart() - time.Duration(safeDeviations*float64(w.service.pace.spread(perCall)))
}

// safeDeviations is the number of mean deviations that a call may take longer than expected
// and still be in time as promised: about nine in ten calls do.
const safeDeviations = 2
