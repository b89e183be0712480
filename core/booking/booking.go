// Package booking keeps appointments: the time that a refused caller is told to come back at,
// and the room that is kept for it then. A caller is known again by its team and by what it asks
// for, whatever the id of its next request.
package booking

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
)

// Options bound a Book. A zero field takes its default.
type Options struct {
	// Early is how long before its time a caller may come, and Grace how long after it its
	// booking lapses.
	Early, Grace time.Duration
	// Max bounds the number of bookings.
	Max int
}

// Defaults of Options.
const (
	// DefaultEarly covers the difference of two network round trips.
	DefaultEarly = 50 * time.Millisecond
	// DefaultGrace covers a caller that is told whole seconds and rounds up.
	DefaultGrace = 1200 * time.Millisecond
	DefaultMax   = 2048
)

// Key is how a caller is known again.
type Key struct {
	Team id.Team
	// Content identifies what is asked for; 0 if unknown, which can't be booked.
	Content uint64
}

// Booking is the appointment of one caller.
type Booking struct {
	Key Key
	// At is when the caller was told to come, First when its first request arrived.
	At, First time.Duration
	Priority  int
	// Size is the room that is kept for it.
	Size float64
}

// Counts is what became of the bookings.
type Counts struct {
	// Made counts all bookings, Kept those whose callers came at their time, Early those
	// whose callers came sooner and lost them, Lapsed those whose callers did not come.
	Made, Kept, Early, Lapsed uint64
	// Full counts the refusals that got no booking, since nothing was free that could be told.
	Full uint64
}

// Book holds the bookings of one pool. It is not safe for concurrent use.
type Book struct {
	options Options
	// list is sorted by At, then by the order in which the bookings were made.
	list   []*Booking
	byKey  map[Key]*Booking
	counts Counts
}

// New returns an empty book.
func New(o Options) *Book {
	defaults.Set(&o.Early, DefaultEarly)
	defaults.Set(&o.Grace, DefaultGrace)
	defaults.Set(&o.Max, DefaultMax)
	return &Book{options: o, byKey: map[Key]*Booking{}}
}

// Add makes a booking; it reports false if it cannot be known again, if the caller has one, or
// if the book is full.
func (b *Book) Add(made Booking) bool {
	if made.Key.Content == 0 || b.byKey[made.Key] != nil || len(b.list) >= b.options.Max {
		b.counts.Full++
		return false
	}
	i, _ := slices.BinarySearchFunc(b.list, made.At+1, func(x *Booking, at time.Duration) int { return compare(x.At, at) })
	b.list = slices.Insert(b.list, i, &made)
	b.byKey[made.Key] = &made
	b.counts.Made++
	return true
}

// Claim ends the booking of a caller that comes; kept reports whether it comes at its time. One
// that comes too soon loses its booking: else asking sooner would cost nothing.
func (b *Book) Claim(now time.Duration, key Key) (booking Booking, kept bool) {
	b.Lapse(now)
	held := b.byKey[key]
	if key.Content == 0 || held == nil {
		return Booking{}, false
	}
	b.remove(held)
	if now < held.At-b.options.Early {
		b.counts.Early++
		return *held, false
	}
	b.counts.Kept++
	return *held, true
}

// Lapse drops the bookings whose callers have not come.
func (b *Book) Lapse(now time.Duration) {
	for len(b.list) > 0 && now > b.list[0].At+b.options.Grace {
		b.counts.Lapsed++
		b.remove(b.list[0])
	}
}

// Due returns the room that is booked up to a time for requests of at least a priority, all of
// it and the part of one team.
func (b *Book) Due(until time.Duration, priority int, team id.Team) (all, of float64) {
	for _, held := range b.list {
		if held.At > until {
			break
		}
		if held.Priority < priority {
			continue
		}
		all += held.Size
		if held.Key.Team == team {
			of += held.Size
		}
	}
	return all, of
}

// Teams returns the teams that hold bookings, each once, in the order of their first.
func (b *Book) Teams() []id.Team {
	var teams []id.Team
	for _, held := range b.list {
		if !slices.Contains(teams, held.Key.Team) {
			teams = append(teams, held.Key.Team)
		}
	}
	return teams
}

// Len returns the number of bookings.
func (b *Book) Len() int { return len(b.list) }

// Counts returns what became of the bookings so far.
func (b *Book) Counts() Counts { return b.counts }

func (b *Book) remove(held *Booking) {
	i := slices.Index(b.list, held)
	b.list = slices.Delete(b.list, i, i+1)
	delete(b.byKey, held.Key)
}

func compare(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
