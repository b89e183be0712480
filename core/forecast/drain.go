package forecast

import (
	"slices"
	"time"
)

// member is a request on an engine, on the engine's token clock: each answer grows by one
// token a tick, so that neither figure changes while it runs.
type member struct {
	// base is the memory that the request would have held at tick 0; end is the tick to which
	// its memory is allowed for, leaves the tick at which it ends.
	base, end, leaves float64
}

// drain follows one engine ahead; its space is used again for the next.
type drain struct {
	// members are the requests on the engine, the largest end first.
	members []member
}

// run adds the times at which an engine has memory for one more typical request, each of which
// is then taken to be given to one.
func (d *drain) run(s *State, e *Engine, openings []time.Duration) []time.Duration {
	d.members = d.members[:0]
	for _, r := range e.Running {
		d.members = append(d.members, member{base: r.Held, end: r.Remaining, leaves: r.Leaves})
	}
	slices.SortFunc(d.members, laterFirst)
	limit := s.Horizon.Seconds() * s.DecodeRate
	for tick := 0.0; tick <= limit; {
		next := member{base: s.Typical.Held - tick, end: s.Typical.Remaining + tick, leaves: s.Typical.Leaves + tick}
		if len(d.members) < e.Slots && (e.Memory <= 0 || d.peakWith(next) <= e.Memory) {
			d.insert(next)
			openings = append(openings, seconds(tick/s.DecodeRate))
			continue
		}
		if len(d.members) == 0 {
			break // larger than the engine
		}
		tick = max(tick, d.removeNext())
	}
	return openings
}

// removeNext removes the member that ends next and returns the tick of its end.
func (d *drain) removeNext() float64 {
	next := 0
	for i, m := range d.members {
		if m.leaves < d.members[next].leaves {
			next = i
		}
	}
	at := d.members[next].leaves
	d.members = slices.Delete(d.members, next, next+1)
	return at
}

func laterFirst(a, b member) int {
	switch {
	case a.end > b.end:
		return -1
	case a.end < b.end:
		return 1
	default:
		return 0
	}
}

// peakWith returns the largest memory that the members and one more will hold together: each
// peak is reached when one of them ends, while those that end later still hold theirs.
func (d *drain) peakWith(next member) float64 {
	sum, count, peak := 0.0, 0.0, 0.0
	add := func(m member) {
		sum += m.base
		count++
		peak = max(peak, sum+count*m.end)
	}
	added := false
	for _, m := range d.members {
		if !added && next.end > m.end {
			add(next)
			added = true
		}
		add(m)
	}
	if !added {
		add(next)
	}
	return peak
}

// insert adds a member in the order of their ends.
func (d *drain) insert(m member) {
	i, _ := slices.BinarySearchFunc(d.members, m, laterFirst)
	d.members = slices.Insert(d.members, i, m)
}
