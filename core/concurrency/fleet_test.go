package concurrency

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// result counts what became of calls.
type result struct {
	calls, inTime, late, given int
}

func (r result) share() float64 { return float64(r.inTime) / float64(max(1, r.calls)) }

// fleet is a simulated service with one queue before its endpoints.
type fleet struct {
	limiter Limiter
	servers []*server
	// rate is the number of calls a second at a time.
	rate func(now time.Duration) float64
	// longShare is the share of calls that take four times as long.
	longShare float64
	// each is called behind each tick.
	each func(now time.Duration)

	// arrivals and losses draw from sources of their own, so that every limiter meets the
	// same calls.
	arrivals, losses *rand.Rand
	queue            []*call
	counts           result
	// from is when counting begins.
	from time.Duration
}

func newFleet(limiter Limiter, rate float64, servers ...*server) *fleet {
	f := &fleet{limiter: limiter, servers: servers, rate: steady(rate)}
	f.seed(1)
	f.configure(0)
	return f
}

func (f *fleet) seed(seed uint64) {
	f.arrivals = rand.New(rand.NewPCG(seed, 2))
	f.losses = rand.New(rand.NewPCG(seed, 3))
}

func (f *fleet) configure(now time.Duration) {
	var members []Member
	for _, s := range f.servers {
		members = append(members, Member{Endpoint: s.name, Slots: s.slots})
	}
	f.limiter.Configure(now, members)
}

// run plays the time between two moments.
func (f *fleet) run(from, to time.Duration) {
	for now := from; now < to; now += tick {
		f.end(now)
		f.arrive(now)
		f.place(now)
		if f.each != nil {
			f.each(now)
		}
	}
}

func (f *fleet) end(now time.Duration) {
	for _, s := range f.servers {
		for _, c := range s.step(now) {
			outcome := Completed
			if c.lost {
				outcome = Failed
			}
			f.limiter.Record(now, Sample{Endpoint: s.name, Took: now - c.sent, InFlight: c.inFlight, Outcome: outcome})
			f.count(now, c)
		}
	}
}

func (f *fleet) count(now time.Duration, c *call) {
	if c.arrived < f.from {
		return
	}
	f.counts.calls++
	switch {
	case c.sent == 0:
		f.counts.given++
	case now-c.arrived <= target && !c.lost:
		f.counts.inTime++
	default:
		f.counts.late++
	}
}

// arrive adds the calls of one tick. One in a hundred takes five times as long.
func (f *fleet) arrive(now time.Duration) {
	p := f.rate(now) * tick.Seconds()
	for ; p > 0; p-- {
		if f.arrivals.Float64() >= p {
			continue
		}
		left := work.Seconds() * math.Exp(0.5*f.arrivals.NormFloat64())
		if f.arrivals.Float64() < 0.01 {
			left *= 5
		}
		if f.arrivals.Float64() < f.longShare {
			left *= 4
		}
		f.queue = append(f.queue, &call{arrived: now, left: left})
	}
}

// place sends waiting calls to where they are expected to end first. A call whose time
// there would be behind the target waits for a faster endpoint, if that ends sooner.
func (f *fleet) place(now time.Duration) {
	f.expire(now)
	for len(f.queue) > 0 {
		free := f.fastest(now, true)
		if free == nil {
			return
		}
		expected := f.expected(now, free)
		if expected > target && expected > f.expected(now, f.fastest(now, false))+f.wait(now, expected) {
			return
		}
		f.send(now, free)
	}
}

// expire gives up the calls that have waited too long.
func (f *fleet) expire(now time.Duration) {
	for len(f.queue) > 0 && now-f.queue[0].arrived > patience {
		f.count(now, f.queue[0])
		f.queue = f.queue[1:]
	}
}

func (f *fleet) send(now time.Duration, s *server) {
	c := f.queue[0]
	f.queue = f.queue[1:]
	c.sent = now
	c.lost = f.losses.Float64() < s.loss(now)
	s.calls = append(s.calls, c)
	c.inFlight = len(s.calls)
}

// fastest returns the endpoint with the least expected time in service, of all or of those
// with room.
func (f *fleet) fastest(now time.Duration, room bool) *server {
	var best *server
	for _, s := range f.servers {
		if room && (s.out || len(s.calls) >= f.limiter.Limit(now, s.name)) {
			continue
		}
		if best == nil || f.sooner(now, s, best) {
			best = s
		}
	}
	return best
}

// sooner tells whether a call is expected to take less at one endpoint than at another; of
// two that take the same the one with fewer in flight is preferred.
func (f *fleet) sooner(now time.Duration, a, b *server) bool {
	return cmp.Or(cmp.Compare(f.expected(now, a), f.expected(now, b)), cmp.Compare(len(a.calls), len(b.calls))) < 0
}

// wait is how long the newest call waits for endpoints that take less than a time.
func (f *fleet) wait(now, less time.Duration) time.Duration {
	rate := 0.0
	for _, s := range f.servers {
		if expected := f.expected(now, s); expected < less {
			rate += float64(f.limiter.Limit(now, s.name)) / expected.Seconds()
		}
	}
	return time.Duration(float64(len(f.queue)) / max(rate, 1) * float64(time.Second))
}

// expected is the expected time in service of the next call at an endpoint.
func (f *fleet) expected(now time.Duration, s *server) time.Duration {
	n := min(len(s.calls)+1, f.limiter.Limit(now, s.name))
	return f.limiter.Expected(now, s.name, n)
}
