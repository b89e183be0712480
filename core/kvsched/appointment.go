package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/booking"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// appointmentStep is the unit of a told time: callers are told whole seconds.
	appointmentStep = time.Second
	// appointmentShare is how much of the time that a caller has left it may be told to wait:
	// its answer takes some of the rest.
	appointmentShare = 1.0 / 3
)

// claim recognises a caller that was told to come back. One that comes at its time keeps the
// place of its first arrival.
func (l *Ledger) claim(w *waiting) {
	if !l.options.ForecastRefusal {
		return
	}
	made, kept := l.book.Claim(l.now, bookingKey(&w.want))
	if kept {
		w.booked, w.promised = true, true
		w.place = made.First
	}
}

func bookingKey(w *sched.Want) booking.Key { return booking.Key{Team: w.Team, Content: w.Content} }

// appoint returns when a refused caller is to come back, and keeps room for it then.
func (l *Ledger) appoint(w *waiting, o *outlook, queued load) time.Duration {
	last := time.Duration(appointmentShare * float64(w.lifetime-l.now)).Truncate(appointmentStep)
	at, found, _ := l.book.Make(booking.Request{
		Booking: booking.Booking{
			Key: bookingKey(&w.want), First: w.place, Priority: w.want.Priority, Size: float64(w.tokens) / max(1, o.size),
		},
		From: l.now + appointmentStep, Until: l.now + last, Step: appointmentStep,
		Share: l.teamShare(w.want.Team),
	}, func(at time.Duration) float64 { return l.spareRoom(o, queued, at) })
	if !found {
		return max(jitter(last, w.want.Request), appointmentStep)
	}
	return at - l.now
}

// spareRoom predicts the room that is left over up to a time beside what waits and what will
// arrive, in typical requests.
func (l *Ledger) spareRoom(o *outlook, queued load, at time.Duration) float64 {
	return o.forecast.Expected(at-o.at) - o.granted - queued.requests - l.arrivals.all().Within(at-l.now)
}

// teamShare returns the share of a team among those that wait or have bookings.
func (l *Ledger) teamShare(team id.Team) float64 {
	teams := append(l.book.Teams(), team)
	for _, w := range l.queue {
		teams = append(teams, w.want.Team)
	}
	slices.Sort(teams)
	sum := 0.0
	for _, t := range slices.Compact(teams) {
		sum += l.weightOf(t)
	}
	return l.weightOf(team) / sum
}

func (l *Ledger) weightOf(team id.Team) float64 {
	if weight := l.teamWeights[team]; weight > 0 {
		return weight
	}
	return 1
}

// configureTeams takes the weights of the teams.
func (l *Ledger) configureTeams(doc *live.Document) {
	l.teamWeights = make(map[id.Team]float64, len(doc.Teams))
	for _, t := range doc.Teams {
		l.teamWeights[t.Name] = t.Weight
	}
}
