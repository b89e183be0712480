package callsched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// TestALossyEndpointGetsCallsOnlyWhenOthersAreFull answers calls while one of two endpoints
// loses some of them: it takes what the other one has no room for.
func TestALossyEndpointGetsCallsOnlyWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	f.options.AvoidLossy = true
	f.doubts = map[id.Endpoint]float64{"e0": 0.5}
	var order []id.Endpoint
	for _, g := range f.fill(start) {
		order = append(order, g.Decode)
	}
	is.Equal(len(order), 6)
	is.Equal(order[:3], []id.Endpoint{"e1", "e1", "e1"})
}

// TestACutOffDaemonCostsAnEndpointNoLimit: one daemon doesn't reach an endpoint, again and
// again, while all calls of the others are answered there. Its limit stays as it is.
func TestACutOffDaemonCostsAnEndpointNoLimit(t *testing.T) {
	is := is.New(t)
	learner := concurrency.New(concurrency.Options{})
	l := New(Options{Pool: "p", Self: daemon, Limiter: learner})
	l.Configure(start, document(3))
	now := start + time.Second
	for n := range 80 {
		now += 50 * ms
		e, cut := id.Endpoint(fmt.Sprintf("e%d", n%3)), n%4 == 3
		if cut {
			e = "e0"
		}
		w := want(fmt.Sprint(n))
		w.Avoid = slices.DeleteFunc([]id.Endpoint{"e0", "e1", "e2"}, func(x id.Endpoint) bool { return x == e })
		l.Load(now, sched.Load{Endpoint: "e0", Reachable: true})
		actions := l.Want(now, w)
		is.Equal(len(actions), 1)
		p := sched.Progress{Request: w.Request, Reservation: actions[0].Grant.Reservation, Phase: sched.PhaseDone, ServiceTime: 20 * ms}
		if cut {
			p.Phase, p.Endpoint, p.Unreachable = sched.PhaseFailed, e, true
		}
		l.Progress(now+20*ms, p)
	}
	is.Equal(len(learner.Suspect(now)), 0)
	is.Equal(learner.Limit(now, "e0"), learner.Limit(now, "e1"))
}
