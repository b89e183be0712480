package callsched

import (
	"math"
	"time"
)

const (
	// loadSpan is the time constant of the measured load: a burst counts within a
	// fraction of a second, single calls average out.
	loadSpan = 250 * time.Millisecond
	// usualSpan is the time constant of the usual load, which bursts hardly change.
	usualSpan = 30 * time.Second
)

// load is the decaying sum of the work that has arrived, in time in service.
type load struct {
	work      float64
	updatedAt time.Duration
}

// at returns the load at a time, in seconds of work a second.
func (d *load) at(now time.Duration) float64 {
	if d.work == 0 {
		return 0
	}
	return d.work * decay(now-d.updatedAt, loadSpan) / loadSpan.Seconds()
}

// add adds the work of a call.
func (d *load) add(now, work time.Duration) {
	d.work = d.at(now)*loadSpan.Seconds() + work.Seconds()
	d.updatedAt = now
}

// usualLoad is the average load over a longer time, or since the start if that is shorter.
type usualLoad struct {
	began     time.Duration
	started   bool
	work      float64
	updatedAt time.Duration
}

// at returns the usual load, in seconds of work a second.
func (u *usualLoad) at(now time.Duration) float64 {
	observed := 1 - decay(now-u.began, usualSpan)
	if !u.started || observed <= 0 {
		return 0
	}
	return u.work * decay(now-u.updatedAt, usualSpan) / (usualSpan.Seconds() * observed)
}

// add adds the work of a call.
func (u *usualLoad) add(now, work time.Duration) {
	if !u.started {
		u.started, u.began = true, now
	}
	u.work = u.work*decay(now-u.updatedAt, usualSpan) + work.Seconds()
	u.updatedAt = now
}

// decay is the weight that is left of something after a time.
func decay(age, span time.Duration) float64 { return math.Exp(-float64(age) / float64(span)) }
