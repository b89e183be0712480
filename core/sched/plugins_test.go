package sched

import (
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// testCycle returns a decision at a time of one second for a request whose
// service has a patience of one second.
func testCycle() *cycle {
	o := Options{}.withDefaults()
	w := testWant(1, teamName(0))
	return &cycle{
		now:     time.Second,
		options: &o,
		want:    &w,
		model:   "m",
		service: &service{patience: time.Second, wasteWeight: 0.5, estimate: newServiceEstimate(&o)},
		kvBytes: 1e6,
	}
}

// testEndpoint returns an idle endpoint of the pool.
func testEndpoint(name id.Endpoint, role live.Role) *endpoint {
	return &endpoint{
		name:        name,
		domain:      testDomains[0],
		labelRole:   role,
		inPool:      true,
		configured:  2,
		prefillRate: newAverage(20000),
		tokenTime:   newAverage(0.02),
	}
}

// testPair returns a prefill that starts now and takes 100 ms, and an idle decode
// endpoint.
func testPair(c *cycle) *pair {
	return &pair{
		prefill: prefillChoice{endpoint: testEndpoint("p", live.RolePrefill), start: c.now, took: 100 * ms},
		decode:  testEndpoint("d", live.RoleDecode),
	}
}

// holdUntil holds a slot until a predicted time with a deviation of 10 ms.
func holdUntil(e *endpoint, at time.Duration) {
	r := &reservation{number: uint64(len(e.held)), release: at, deviation: 10 * ms}
	e.held = append(e.held, r)
	e.sortHeld()
}

// ejectingView is a health view that ejects one endpoint.
type ejectingView struct{ ejected id.Endpoint }

func (a ejectingView) Allowed(e id.Endpoint) bool { return e != a.ejected }

// Doubt implements HealthView.
func (a ejectingView) Doubt(time.Duration, id.Endpoint) float64 { return 0 }

// keeps asserts whether a filter keeps an endpoint.
func keeps(is *is.I, f endpointFilter, c *cycle, e *endpoint, want bool) {
	is.Helper()
	is.Equal(f.keep(c, e), want) // kept by the filter
}
