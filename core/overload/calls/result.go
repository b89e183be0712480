package calls

import (
	"github.com/samphirequay/samphirequay/core/id"
)

// outcome is the outcome of a caller's last attempt.
type outcome int

const (
	unserved outcome = iota
	inTime
	late
	refused
	gone
)

// Count counts callers by the outcome of their last attempts.
type Count struct {
	Callers, InTime, Late, Refused, Gone int
	// FirstRefused counts the callers whose first attempt was refused, FirstInTime those
	// whose first attempt was answered in time.
	FirstRefused, FirstInTime int
}

// plus returns the sum of two counts.
func (c Count) plus(o Count) Count {
	return Count{
		Callers:      c.Callers + o.Callers,
		InTime:       c.InTime + o.InTime,
		Late:         c.Late + o.Late,
		Refused:      c.Refused + o.Refused,
		Gone:         c.Gone + o.Gone,
		FirstRefused: c.FirstRefused + o.FirstRefused,
		FirstInTime:  c.FirstInTime + o.FirstInTime,
	}
}

// Share is the share of callers that were answered in time.
func (c Count) Share() float64 { return float64(c.InTime) / float64(max(1, c.Callers)) }

// Result summarizes a replay by the callers that are counted.
type Result struct {
	Count
	Teams map[id.Team]Count
	// Priorities counts by priority, 0 to 9.
	Priorities [10]Count
	// Arrived counts the calls that reached an endpoint in the whole replay, Full those
	// that it refused.
	Arrived, Full int
	// Refusals counts the refusals that callers got; SlowRefusals are those after more
	// than an eighth of the target, on top of the messages.
	Refusals, SlowRefusals int
	// Busy is the share of the slots' time in which calls ran.
	Busy float64
}

// add counts a caller.
func (c *Count) add(x *caller) {
	c.Callers++
	switch x.outcome {
	case inTime:
		c.InTime++
	case late:
		c.Late++
	case refused:
		c.Refused++
	default:
		c.Gone++
	}
	if len(x.refusedAfter) > 0 {
		c.FirstRefused++
	}
	if x.attempt == 1 && x.outcome == inTime {
		c.FirstInTime++
	}
}

// slowRefusalShare is the part of its target after which a refusal counts as slow.
const slowRefusalShare = 8

// result sums up the callers' outcomes.
func (w *simulation) result() *Result {
	r := &Result{Teams: map[id.Team]Count{}, Arrived: w.arrived, Full: w.full}
	atOnce := w.Target/slowRefusalShare + 2*w.Hop
	for _, c := range w.callers {
		if c.at < w.From || w.To > 0 && c.at >= w.To {
			continue
		}
		r.Count.add(c)
		team := r.Teams[c.team.Name]
		team.add(c)
		r.Teams[c.team.Name] = team
		r.Priorities[c.team.Priority].add(c)
		for _, after := range c.refusedAfter {
			r.Refusals++
			if after > atOnce {
				r.SlowRefusals++
			}
		}
	}
	if w.To > w.From {
		r.Busy = w.busy.Seconds() / ((w.To - w.From).Seconds() * float64(w.Endpoints*w.Slots))
	}
	return r
}
