package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/booking"
)

// Admission counts how the forecast's decisions turned out since the scheduler started.
type Admission struct {
	// Admitted counts the granted requests that a forecast had let wait, Late those of them
	// that were granted too late for their target.
	Admitted, Late uint64
	// Refused counts the requests refused by a forecast, RefusedLater those of them that an
	// earlier forecast had let wait.
	Refused, RefusedLater uint64
	// RoomCame counts the refused requests for which room came in time: one at least as
	// large that went behind it was granted.
	RoomCame uint64
	// Bookings counts the appointments of refused callers.
	Bookings booking.Counts
}

const (
	// initialForecastMargin is the factor on a predicted wait before anything was learned.
	initialForecastMargin = 1.2
	// minForecastMargin and maxForecastMargin bound the factor.
	minForecastMargin = 0.8
	maxForecastMargin = 3.0
	// lateShare is the share of the admitted requests that may be granted too late: few, since
	// each of them takes the room of one that could be in time.
	lateShare = 0.01
	// marginStep is how much the factor grows by one that is granted too late.
	marginStep = 0.1
	// maxFollowed bounds the refused requests that are followed.
	maxFollowed = 256
)

// forecastError counts the forecast's errors and learns the margin for them.
type forecastError struct {
	counts Admission
	// factor is the margin; 0 before anything was learned.
	factor float64
	// followed are refused requests for which room may still come in time.
	followed []followed
}

// followed is a request refused by the forecast.
type followed struct {
	urgency urgency
	tokens  int
	// place is its place in the order, latest when it could have been granted at the latest.
	place, latest time.Duration
}

// margin returns the factor on a predicted wait.
func (e *forecastError) margin() float64 {
	if e.factor == 0 {
		return initialForecastMargin
	}
	return e.factor
}

// granted counts a grant; late reports whether the request will miss its target.
func (e *forecastError) granted(now time.Duration, w *waiting, late bool) {
	e.compare(now, w)
	if !w.reviewed {
		return
	}
	e.counts.Admitted++
	change := -marginStep * lateShare
	if late {
		e.counts.Late++
		change = marginStep * (1 - lateShare)
	}
	e.factor = min(max(e.margin()+change, minForecastMargin), maxForecastMargin)
}

// compare finds the refused requests that could have had the room of a granted one.
func (e *forecastError) compare(now time.Duration, w *waiting) {
	if len(e.followed) == 0 || w.want.Prefilled {
		return
	}
	e.followed = slices.DeleteFunc(e.followed, func(f followed) bool {
		behind := moreUrgentFirst(f.urgency, w.urgency) < 0 || f.urgency == w.urgency && f.place < w.place
		came := now <= f.latest && behind && w.tokens >= f.tokens
		if came {
			e.counts.RoomCame++
		}
		return came || now > f.latest
	})
}

// refused counts a refusal by the forecast. latest is when the request could have been granted
// at the latest.
func (e *forecastError) refused(now time.Duration, w *waiting, latest time.Duration) {
	e.counts.Refused++
	if w.promised {
		e.counts.RefusedLater++
	}
	if latest <= now {
		return
	}
	if len(e.followed) >= maxFollowed {
		e.followed = slices.Delete(e.followed, 0, 1)
	}
	e.followed = append(e.followed, followed{urgency: w.urgency, tokens: w.tokens, place: w.place, latest: latest})
}

// Admission returns how the forecast's decisions turned out.
func (l *Ledger) Admission() Admission {
	counts := l.forecastError.counts
	counts.Bookings = l.book.Counts()
	return counts
}
