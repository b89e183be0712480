package callsched

import "time"

// roomLife is how long a computed capacity is used: limits and times in service change with
// each call that ends, but little.
const roomLife = 5 * time.Millisecond

// capacity is what the pool's endpoints take together.
type capacity struct {
	// places is the number of calls that may be in flight.
	places float64
	// perCall is the mean time in service at these limits.
	perCall time.Duration
}

// roomChanged is called after a change of the endpoints.
func (l *Ledger) roomChanged() {
	l.roomAt = -roomLife
	l.dispatchDue = true
}

// capacity returns the capacity of the endpoints that may serve calls. Those held for
// moments count, the half that is left free while the owner settles as well.
func (l *Ledger) capacity() capacity {
	if l.now-l.roomAt < roomLife {
		return l.room
	}
	l.roomAt = l.now
	l.room = l.computeCapacity()
	return l.room
}

func (l *Ledger) computeCapacity() capacity {
	places, perSecond := 0.0, 0.0
	for _, e := range l.order {
		if !l.mayServe(e) {
			continue
		}
		limit := l.limit(e)
		places += float64(limit)
		perSecond += float64(limit) / max(minExpected, l.limiter.Expected(l.now, e.name, limit)).Seconds()
	}
	if places == 0 {
		return capacity{}
	}
	return capacity{places: places, perCall: seconds(places / perSecond)}
}

// minExpected keeps a time in service of zero from counting as no load.
const minExpected = time.Microsecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
