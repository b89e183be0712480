package concurrency

import (
	"fmt"
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	tick = time.Millisecond
	// work is the median time in service at an endpoint of speed 1 that is not crowded,
	// target the time in which a caller wants its answer.
	work   = 60 * time.Millisecond
	target = 300 * time.Millisecond
	// patience is how long a call waits for an endpoint; later it would hardly be in time.
	patience = 200 * time.Millisecond
)

// call is one call of a simulated caller.
type call struct {
	arrived, sent time.Duration
	left          float64
	inFlight      int
	lost          bool
}

// server is a simulated endpoint.
type server struct {
	name  id.Endpoint
	slots int
	// slower is how much slower than usual the endpoint is at a time.
	slower func(now time.Duration) float64
	// crowd is the factor on the time in service by the number that run.
	crowd func(running int) float64
	// loss is the share of answers that are lost at a time.
	loss  func(now time.Duration) float64
	calls []*call
	// out is set while the endpoint gets no calls.
	out bool
}

func steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// changes is a factor that has one value up to a time and another one from then on.
func changes(before float64, at time.Duration, after float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < at {
			return before
		}
		return after
	}
}

func uncrowded(int) float64 { return 1 }

// kneeAt slows an endpoint down from a number in flight on, faster than the number grows.
func kneeAt(knee int) func(int) float64 {
	return func(running int) float64 { return max(1, math.Pow(float64(running)/float64(knee), 2)) }
}

func newServer(i, slots int, slower float64) *server {
	return &server{
		name:   id.Endpoint(fmt.Sprintf("e%02d", i)),
		slots:  slots,
		slower: steady(slower),
		crowd:  uncrowded,
		loss:   steady(0),
	}
}

// step runs the calls at the endpoint for one tick and returns those that have ended.
func (s *server) step(now time.Duration) []*call {
	running := min(len(s.calls), s.slots)
	speed := 1 / (s.slower(now) * s.crowd(running))
	var ended, rest []*call
	for i, c := range s.calls {
		if i < running {
			c.left -= speed * tick.Seconds()
		}
		if c.left <= 0 {
			ended = append(ended, c)
		} else {
			rest = append(rest, c)
		}
	}
	s.calls = rest
	return ended
}
