package callsched

import (
	"math"
	"time"
)

// forecastRounds bounds the iterations of a forecast; each adds what arrives during the
// wait found by the one before.
const forecastRounds = 10

// unknownWait is the forecast of a wait that has no end at the present load.
const unknownWait = time.Hour

// ahead is the work that is served before a call, in seconds of time in service.
type ahead struct {
	// queued is the work of waiting calls and of the call itself.
	queued float64
	// higher is the arriving work that always goes first, in seconds a second.
	higher float64
	// perCall is the work of one call, in seconds.
	perCall float64
	// others are the arrivals of the same priority that may go first.
	others []overtaking
}

// overtaking is the arriving work of another team that may go before a call.
type overtaking struct {
	// perSecond is the arriving work, most the largest part of it that goes before the
	// call: the team's share at the call's place in the order.
	perSecond, most float64
}

// wait returns the time until a place is free for the call, if all places are in use now.
func (a *ahead) wait(places float64) time.Duration {
	free := places - a.higher
	if free <= 0 {
		return unknownWait
	}
	wait := a.queued / free
	for range forecastRounds {
		others := 0.0
		for _, o := range a.others {
			others += min(o.perSecond*wait, o.most)
		}
		surge := surgeDeviations * math.Sqrt((a.higher*wait+others)*a.perCall)
		next := (a.queued + others + surge) / free
		if next <= wait {
			break
		}
		wait = next
	}
	return seconds(min(unknownWait.Seconds(), wait)) // a longer one may not fit a Duration
}

// surgeDeviations is the number of standard deviations by which more calls than usual may
// arrive and go first: calls that come independently of each other deviate by the root of
// their number.
const surgeDeviations = 2

// waitInTime forecasts the wait of a new call that is served in the order of those that can
// be in time. It sets the call's start tag.
func (l *Ledger) waitInTime(w *waiting) time.Duration {
	a := ahead{queued: w.Cost(), perCall: w.Cost(), higher: l.teams.load(l.now, w.want.Priority+1)}
	shared := l.shares.HasTeams()
	if shared {
		l.assignTag(w)
	}
	for _, other := range l.queue {
		if !other.late && goesBefore(other, w, shared) {
			a.queued += other.Cost()
		}
	}
	if shared {
		a.others = l.overtaking(w)
	}
	return a.wait(l.capacity().places)
}

// waitLate forecasts the wait of a late call: behind all that can be in time, those that
// still arrive included, and the late ones before it. queued is the work of the waiting calls
// before it and of the call itself, in seconds of time in service. Refused calls count as
// arriving: while there are any, they have the better claim to a place.
func (l *Ledger) waitLate(w *waiting, queued float64) time.Duration {
	a := ahead{queued: queued, perCall: w.Cost(), higher: l.offered.at(l.now)}
	return a.wait(l.capacity().places)
}

// queuedWork returns the work of all waiting calls, in seconds of time in service.
func (l *Ledger) queuedWork() float64 {
	work := 0.0
	for _, w := range l.queue {
		work += w.Cost()
	}
	return work
}

// goesBefore reports whether a queued call is served before a new one, if both are in time.
func goesBefore(queued, w *waiting, shared bool) bool {
	if queued.want.Priority != w.want.Priority {
		return queued.want.Priority > w.want.Priority
	}
	if shared {
		return queued.startTag <= w.startTag
	}
	return queued.arrived <= w.arrived
}

// assignTag sets the start tag of a new call, behind the team's waiting calls of its
// priority and above. It leaves the next tag of each team in its scratch field.
func (l *Ledger) assignTag(w *waiting) {
	for _, t := range l.teams.list {
		t.nextTag = l.shares.Next(t.name)
	}
	for _, other := range l.queue {
		if !other.late && other.want.Priority >= w.want.Priority {
			other.team.nextTag += l.shares.Scaled(other.team.name, other.Cost())
		}
	}
	w.startTag = w.team.nextTag
}

// overtaking lists the other teams whose calls of the same priority may arrive later and go
// first, since these teams have had less of their shares.
func (l *Ledger) overtaking(w *waiting) []overtaking {
	var out []overtaking
	for _, t := range l.teams.list {
		perSecond := t.loads[w.want.Priority].at(l.now)
		if t == w.team || perSecond == 0 || t.nextTag > w.startTag {
			continue
		}
		most := (w.startTag - t.nextTag) / l.shares.Scaled(t.name, 1)
		out = append(out, overtaking{perSecond: perSecond, most: most})
	}
	return out
}
