// Package concurrency learns how many requests each endpoint of a service takes well: the
// number in flight above which its time in service rises without more requests being
// completed. Endpoints of one service differ, and an endpoint changes while it runs. The
// package is deterministic: it takes samples with a time and has no clock.
package concurrency

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Member is an endpoint whose limit is learned.
type Member struct {
	// Endpoint is the incarnation: a restarted endpoint is learned anew.
	Endpoint id.Endpoint
	// Slots is the number of requests that the endpoint says it runs at once. A limit
	// is never higher than its slots and a small allowance for messages under way.
	Slots int
	// Bound is the number that an operator allows in flight; 0 if none is set. No limit
	// is higher, whatever was learned.
	Bound int
}

// Outcome is the result of a request, as far as it says something about the endpoint.
type Outcome uint8

// The outcomes.
const (
	// Completed: the endpoint answered with success.
	Completed Outcome = iota + 1
	// Refused: the endpoint refused the request for lack of capacity.
	Refused
	// Failed: the endpoint answered with an error, broke off or was not reached.
	Failed
	// TimedOut: the endpoint did not answer in time.
	TimedOut
	// Unknown: the request ended for a reason that does not concern the endpoint.
	Unknown
)

// Sample is one request that an endpoint has ended.
type Sample struct {
	Endpoint id.Endpoint
	// Took is the time in service: from sending to the answer, without any wait before.
	Took time.Duration
	// InFlight is how many requests were in flight at the endpoint when this one was
	// sent, itself included.
	InFlight int
	Outcome  Outcome
}

// Limiter bounds the requests in flight at each endpoint. The owner of a service's queue
// asks it before each grant. Implementations are not safe for concurrent use.
type Limiter interface {
	// Configure sets the endpoints; what was learned of those that stay is kept.
	Configure(now time.Duration, members []Member)
	// Limit returns how many requests may be in flight at the endpoint; at least 1.
	Limit(now time.Duration, e id.Endpoint) int
	// Expected returns the expected time in service of a request that would be the
	// inFlight-th one in flight at the endpoint.
	Expected(now time.Duration, e id.Endpoint, inFlight int) time.Duration
	// Record records the end of a request.
	Record(now time.Duration, s Sample)
	// Snapshot returns what was learned, for the next owner; Restore takes it over for
	// endpoints of which nothing is known yet.
	Snapshot(now time.Duration) []Learned
	Restore(now time.Duration, learned []Learned)
}

// Learned is what was learned of one endpoint.
type Learned struct {
	Endpoint id.Endpoint `cbor:"1,keyasint"`
	// Limit is how many requests may be in flight at it; fractions are kept.
	Limit float64 `cbor:"2,keyasint"`
	// Base is its time in service when it is not crowded, Current that at its limit.
	Base    time.Duration `cbor:"3,keyasint"`
	Current time.Duration `cbor:"4,keyasint"`
	// AgeMS is how old the newest sample behind these values is, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint"`
}
