package booking

import (
	"math"
	"time"
)

// Spare is how much room will have become free up to a time, beyond what is promised to others
// and what is expected to arrive; it may fall as well as rise.
type Spare func(at time.Duration) float64

// Request asks for the earliest appointment.
type Request struct {
	Booking
	// From and Until bound the appointment; it is looked for in steps.
	From, Until, Step time.Duration
	// Share is the part of the spare room that the caller's team may book.
	Share float64
}

// Make books the earliest time of a request at which there is room for the caller beside those
// booked before, within its team's share, and after which those booked later still find theirs.
// found is false if there is none; booked is false if the caller can't be known again.
func (b *Book) Make(r Request, spare Spare) (at time.Duration, found, booked bool) {
	slack, best := math.Inf(1), time.Duration(-1)
	for t := r.Until; t >= r.From; t -= r.Step {
		free := spare(t)
		all, of := b.Due(t, 0, r.Key.Team)
		slack = min(slack, free-all)
		if slack >= r.Size && of+r.Size <= max(r.Size, r.Share*free) {
			best = t
		}
	}
	if best < 0 {
		b.counts.Full++
		return 0, false, false
	}
	r.At = best
	return best, true, b.Add(r.Booking)
}
