package sched

import (
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// testCycle is a decision at one second about a request of a service that
// waits up to one second.
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

// testEndpoint is an idle endpoint in the pool.
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

// testPair is a prefill from now on for 100 ms, and an idle decode endpoint.
func testPair(c *cycle) *pair {
	return &pair{
		prefill: prefillChoice{endpoint: testEndpoint("p", live.RolePrefill), start: c.now, took: 100 * ms},
		decode:  testEndpoint("d", live.RoleDecode),
	}
}

// holdUntil fills a slot until a predicted time, give or take 10 ms.
func holdUntil(e *endpoint, at time.Duration) {
	r := &reservation{number: uint64(len(e.held)), release: at, deviation: 10 * ms}
	e.held = append(e.held, r)
	e.sortHeld()
}

// allowed is a health view that ejects one endpoint.
type ejectingView struct{ ejected id.Endpoint }

func (a ejectingView) Allowed(e id.Endpoint) bool { return e != a.ejected }

// keeps asserts what a filter says of an endpoint.
func keeps(is *is.I, f endpointFilter, c *cycle, e *endpoint, want bool) {
	is.Helper()
	is.Equal(f.keep(c, e), want) // kept by the filter
}
