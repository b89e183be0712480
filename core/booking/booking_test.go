package booking

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

const second = time.Second

func request(team id.Team, content uint64, share float64) Request {
	return Request{
		Booking: Booking{Key: Key{Team: team, Content: content}, First: second, Size: 1},
		From:    10 * second, Until: 16 * second, Step: second, Share: share,
	}
}

// perSecond is a pool in which room for n requests more becomes free each second.
func perSecond(n float64) Spare {
	return func(at time.Duration) float64 { return n * (at - 9*second).Seconds() }
}

// TestNoMoreAreToldThanFit: a burst of refused callers is spread over the time in which room
// comes.
func TestNoMoreAreToldThanFit(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	told := map[time.Duration]int{}
	for i := range 20 {
		if at, found, booked := b.Make(request("a", uint64(i+1), 1), perSecond(2)); found {
			is.True(booked)
			told[at]++
		}
	}
	for at := 10 * second; at <= 16*second; at += second {
		is.Equal(told[at], 2)
	}
	is.Equal(b.Len(), 14)
	is.Equal(b.Counts().Full, uint64(6))
}

// TestLaterBookingsKeepTheirRoom: room that is there early and taken by expected arrivals
// later is not told twice.
func TestLaterBookingsKeepTheirRoom(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	spare := func(at time.Duration) float64 {
		if at < 14*second {
			return 1
		}
		return 0
	}
	_, found, _ := b.Make(request("a", 1, 1), spare)
	is.True(!found)
}

func TestCallerIsKnownByTeamAndContent(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	at, _, _ := b.Make(request("a", 7, 1), perSecond(1))
	_, kept := b.Claim(at, Key{Team: "b", Content: 7})
	is.True(!kept) // another team's
	got, kept := b.Claim(at, Key{Team: "a", Content: 7})
	is.True(kept)
	is.Equal(got.First, second)
	_, kept = b.Claim(at, Key{Team: "a", Content: 7})
	is.True(!kept) // a booking serves once
	_, _, booked := b.Make(request("a", 0, 1), perSecond(1))
	is.True(!booked) // unknown content
}

// TestComingSoonerGainsNothing: a caller that ignores its time is new, and loses its booking.
func TestComingSoonerGainsNothing(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	at, _, _ := b.Make(request("a", 1, 1), perSecond(1))
	_, kept := b.Claim(at-second, Key{Team: "a", Content: 1})
	is.True(!kept)
	_, kept = b.Claim(at, Key{Team: "a", Content: 1})
	is.True(!kept)
	is.Equal(b.Counts().Early, uint64(1))
}

func TestBookingLapses(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	at, _, _ := b.Make(request("a", 1, 1), perSecond(1))
	_, kept := b.Claim(at+DefaultGrace+1, Key{Team: "a", Content: 1})
	is.True(!kept)
	is.Equal(b.Counts().Lapsed, uint64(1))
	is.Equal(b.Len(), 0)
}

// TestTeamBooksNoMoreThanItsShare: of two teams with the same weight, one that is refused many
// times leaves half of each moment's room to the other.
func TestTeamBooksNoMoreThanItsShare(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	for i := range 50 {
		b.Make(request("many", uint64(i+1), 0.5), perSecond(4))
	}
	_, of := b.Due(10*second, 0, "many")
	is.Equal(of, 2.0)
	at, found, _ := b.Make(request("few", 1, 0.5), perSecond(4))
	is.True(found)
	is.Equal(at, 10*second)
}

func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	b := New(Options{Max: 3})
	for i := range 10 {
		b.Make(request("a", uint64(i+1), 1), perSecond(100))
	}
	is.Equal(b.Len(), 3)
}
