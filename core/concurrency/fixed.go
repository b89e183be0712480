package concurrency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// roundTrip is the time of the messages between a request's end and the arrival of
	// the next one: the end to the owner, the grant to a daemon, and the call itself.
	roundTrip = 6 * time.Millisecond
	// initialServiceTime is assumed while no request of any endpoint has ended.
	initialServiceTime = 20 * time.Millisecond
	// fixedSmoothing is the weight of a new sample in the moving average.
	fixedSmoothing = 0.05
)

// Fixed is a Limiter whose limits are the endpoints' slots and an allowance for messages
// under way. It learns only the time in service.
type Fixed struct {
	endpoints map[id.Endpoint]*fixedEndpoint
}

// fixedEndpoint is what is known of one endpoint.
type fixedEndpoint struct {
	slots int
	// base is the average time in service while no request waits for a slot.
	base      time.Duration
	samples   int
	sampledAt time.Duration
}

// NewFixed returns a Fixed without endpoints.
func NewFixed() *Fixed { return &Fixed{endpoints: map[id.Endpoint]*fixedEndpoint{}} }

// Configure implements Limiter.
func (f *Fixed) Configure(_ time.Duration, members []Member) {
	old := f.endpoints
	f.endpoints = make(map[id.Endpoint]*fixedEndpoint, len(members))
	for _, m := range members {
		e := old[m.Endpoint]
		if e == nil {
			e = &fixedEndpoint{}
		}
		e.slots = max(1, m.Slots)
		f.endpoints[m.Endpoint] = e
	}
}

// Limit implements Limiter.
func (f *Fixed) Limit(_ time.Duration, name id.Endpoint) int {
	e := f.endpoints[name]
	if e == nil {
		return 1
	}
	return e.slots + f.underWay(e)
}

// underWay returns how many requests an endpoint holds above its slots, so that none is idle
// for the time of the messages: as many as end in this time, and a standard deviation more
// since they end independently of each other.
func (f *Fixed) underWay(e *fixedEndpoint) int {
	ending := float64(e.slots) * float64(roundTrip) / float64(max(roundTrip, f.base(e)))
	return int(math.Ceil(ending + math.Sqrt(ending)))
}

// Expected implements Limiter: requests above the slots share them.
func (f *Fixed) Expected(_ time.Duration, name id.Endpoint, inFlight int) time.Duration {
	e := f.endpoints[name]
	if e == nil {
		return f.typical()
	}
	return time.Duration(e.crowding(inFlight) * float64(f.base(e)))
}

// base returns the endpoint's average time in service, or that of the others while it has
// none.
func (f *Fixed) base(e *fixedEndpoint) time.Duration {
	if e.samples == 0 {
		return f.typical()
	}
	return e.base
}

// crowding is the factor on the time in service with so many requests in flight.
func (e *fixedEndpoint) crowding(inFlight int) float64 {
	return max(1, float64(inFlight)/float64(e.slots))
}

// typical returns the mean time in service of the endpoints with samples.
func (f *Fixed) typical() time.Duration {
	var sum time.Duration
	known := 0
	for _, e := range f.endpoints {
		if e.samples > 0 {
			sum += e.base
			known++
		}
	}
	if known == 0 {
		return initialServiceTime
	}
	return sum / time.Duration(known)
}

// Record implements Limiter.
func (f *Fixed) Record(now time.Duration, s Sample) {
	e := f.endpoints[s.Endpoint]
	if e == nil || s.Took <= 0 {
		return
	}
	took := time.Duration(float64(s.Took) / e.crowding(s.InFlight))
	switch {
	case s.Outcome == Completed:
	case s.Outcome == TimedOut && took > e.base: // it would have taken longer still
	default:
		return
	}
	e.samples++
	weight := max(fixedSmoothing, 1/float64(e.samples))
	e.base += time.Duration(weight * float64(took-e.base))
	e.sampledAt = now
}

// Snapshot implements Limiter.
func (f *Fixed) Snapshot(now time.Duration) []Learned {
	var out []Learned
	for name, e := range f.endpoints {
		if e.samples == 0 {
			continue
		}
		limit := f.Limit(now, name)
		out = append(out, Learned{
			Endpoint: name,
			Limit:    float64(limit),
			Base:     e.base,
			Current:  f.Expected(now, name, limit),
			AgeMS:    (now - e.sampledAt).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b Learned) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Restore implements Limiter.
func (f *Fixed) Restore(now time.Duration, learned []Learned) {
	for _, known := range learned {
		e := f.endpoints[known.Endpoint]
		if e == nil || e.samples > 0 || known.Base <= 0 {
			continue
		}
		e.base = known.Base
		e.samples = 1
		e.sampledAt = now - time.Duration(known.AgeMS)*time.Millisecond
	}
}
